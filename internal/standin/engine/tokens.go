package engine

import (
	"fmt"
	"strings"

	"cowslipgw/internal/structs"
)

// tokenBytes is the approximate size of a token in bytes of text.
const tokenBytes = 4

// paddingToken is the token that pads an answer to the requested minimum length.
const paddingToken = " and"

// tokenize splits text into tokens of about tokenBytes bytes at rune boundaries.
func tokenize(text string) []string {
	var pieces []string
	start := 0
	for at, r := range text {
		end := at + len(string(r))
		if end-start >= tokenBytes {
			pieces = append(pieces, text[start:end])
			start = end
		}
	}
	if start < len(text) {
		pieces = append(pieces, text[start:])
	}
	return pieces
}

// messageTokens returns the number of tokens of a message, which is at least 1.
func messageTokens(m structs.Message) int64 {
	size := len(m.Role) + len(contentText(m.Content)) + len(m.Name) + len(m.ToolCalls) + len(m.ToolCallID)
	return max(1, int64((size+tokenBytes-1)/tokenBytes))
}

// answerText returns the text of the answer to a list of messages.
func answerText(messages []structs.Message) string {
	last := ""
	for _, m := range messages {
		if m.Role == "user" {
			last = contentText(m.Content)
		}
	}
	return fmt.Sprintf("I see %d messages. The last user message is: %s", len(messages), last)
}

// answerTokens returns the tokens of the answer, padded to minTokens and truncated
// to maxTokens, and the finish reason.
func answerTokens(messages []structs.Message, minTokens, maxTokens int) (tokens []string, finishReason string) {
	tokens = tokenize(answerText(messages))
	for len(tokens) < min(minTokens, maxTokens) {
		tokens = append(tokens, paddingToken)
	}
	if len(tokens) > maxTokens {
		return tokens[:maxTokens], "length"
	}
	return tokens, "stop"
}

// joinTokens returns the text of the first n tokens.
func joinTokens(tokens []string, n int) string {
	return strings.Join(tokens[:n], "")
}
