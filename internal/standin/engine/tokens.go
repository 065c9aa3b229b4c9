package engine

import (
	"fmt"
	"strings"

	"cowslipgw/internal/structs"
)

// tokenBytes is how many bytes of text make about one token.
const tokenBytes = 4

// filler pads an answer to the asked length; it is one token.
const filler = " and"

// tokenize splits text into pieces of about tokenBytes bytes at rune boundaries.
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

// messageTokens counts the tokens of one message; at least one.
func messageTokens(m structs.Message) int64 {
	size := len(m.Role) + len(contentText(m.Content)) + len(m.Name) + len(m.ToolCalls) + len(m.ToolCallID)
	return max(1, int64((size+tokenBytes-1)/tokenBytes))
}

// answerText is what the engine answers to a list of messages.
func answerText(messages []structs.Message) string {
	last := ""
	for _, m := range messages {
		if m.Role == "user" {
			last = contentText(m.Content)
		}
	}
	return fmt.Sprintf("I see %d messages. The last user message is: %s", len(messages), last)
}

// answerTokens returns the tokens of the answer and the finish reason.
func answerTokens(messages []structs.Message, least, limit int) (pieces []string, finish string) {
	pieces = tokenize(answerText(messages))
	for len(pieces) < min(least, limit) {
		pieces = append(pieces, filler)
	}
	if len(pieces) > limit {
		return pieces[:limit], "length"
	}
	return pieces, "stop"
}

// joined returns the text of the first n tokens.
func joined(pieces []string, n int) string {
	return strings.Join(pieces[:n], "")
}
