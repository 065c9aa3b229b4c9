package upstream

import (
	"encoding/json"
	"fmt"
	"strings"

	"cowslipgw/internal/structs"
)

// maxToolCalls limits the number of tool calls in an answer.
const maxToolCalls = 1024

// assembler assembles a complete answer from the events of a stream.
type assembler struct {
	id, model    string
	created      int64
	content      strings.Builder
	hasContent   bool
	refusal      strings.Builder
	toolCalls    []toolCall
	finishReason string
	usage        *wireUsage
	deltas       int
	size         int64
	sizeLimit    int64
}

// toolCall is a tool call in a complete message.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// toolFunction is the function invoked by a tool call.
type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// add adds one event. It returns ErrAnswerMismatch if the event belongs to another
// answer.
func (a *assembler) add(chunk *wireChunk, length int) error {
	if a.id == "" {
		a.id, a.model, a.created = chunk.ID, chunk.Model, chunk.Created
	}
	if chunk.ID != "" && chunk.ID != a.id {
		return fmt.Errorf("%w: event of answer %q in the stream of answer %q", ErrAnswerMismatch, chunk.ID, a.id)
	}
	a.size += int64(length)
	if a.sizeLimit > 0 && a.size > a.sizeLimit {
		return ErrAnswerTooLong
	}
	if chunk.Usage != nil {
		a.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Index != 0 {
			return fmt.Errorf("%w: unexpected choice %d", ErrAnswerMismatch, choice.Index)
		}
		if choice.Delta.Content != nil {
			a.hasContent = true
			a.content.WriteString(*choice.Delta.Content)
			a.deltas++
		}
		if choice.Delta.Refusal != nil {
			a.refusal.WriteString(*choice.Delta.Refusal)
		}
		if err := a.addToolCalls(choice.Delta.ToolCalls); err != nil {
			return err
		}
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			a.finishReason = *choice.FinishReason
		}
	}
	return nil
}

// addToolCalls appends fragments of tool calls to the calls with the same index.
func (a *assembler) addToolCalls(parts []wireToolCall) error {
	for _, part := range parts {
		if part.Index < 0 || part.Index >= maxToolCalls {
			return fmt.Errorf("%w: tool call %d is out of range", ErrIncompleteAnswer, part.Index)
		}
		for len(a.toolCalls) <= part.Index {
			a.toolCalls = append(a.toolCalls, toolCall{Type: "function"})
		}
		tool := &a.toolCalls[part.Index]
		if part.ID != "" {
			tool.ID = part.ID
		}
		if part.Type != "" {
			tool.Type = part.Type
		}
		tool.Function.Name += part.Function.Name
		tool.Function.Arguments += part.Function.Arguments
		a.deltas++
	}
	return nil
}

// message returns the assembled assistant message.
func (a *assembler) message() (structs.Message, error) {
	message := structs.Message{Role: roleAssistant, Content: json.RawMessage("null")}
	if a.hasContent {
		content, err := json.Marshal(a.content.String())
		if err != nil {
			return message, err
		}
		message.Content = content
	}
	if len(a.toolCalls) > 0 {
		tools, err := json.Marshal(a.toolCalls)
		if err != nil {
			return message, err
		}
		message.ToolCalls = tools
	}
	return message, nil
}

// answer returns the assembled answer. If the stream reported no usage, the number of
// deltas stands in for the completion tokens.
func (a *assembler) answer() (*Answer, error) {
	message, err := a.message()
	if err != nil {
		return nil, err
	}
	usage := structs.Usage{CompletionTokens: a.deltas, TotalTokens: a.deltas}
	if a.usage != nil {
		usage = a.usage.usage()
	}
	type wireMessage struct {
		structs.Message
		Refusal string `json:"refusal,omitempty"`
	}
	body, err := json.Marshal(map[string]any{
		"id":      a.id,
		"object":  "chat.completion",
		"created": a.created,
		"model":   a.model,
		"choices": []any{map[string]any{
			"index":         0,
			"message":       wireMessage{Message: message, Refusal: a.refusal.String()},
			"finish_reason": a.finishReason,
		}},
		"usage": usage,
	})
	if err != nil {
		return nil, err
	}
	return &Answer{Body: body, Message: message, FinishReason: a.finishReason, Usage: usage}, nil
}
