package upstream

import (
	"encoding/json"
	"fmt"
	"strings"

	"cowslipgw/internal/structs"
)

// maxToolCalls bounds the tool calls of one answer.
const maxToolCalls = 1024

// assembler builds a whole answer from the events of a stream.
type assembler struct {
	id, model   string
	created     int64
	content     strings.Builder
	hasContent  bool
	refusal     strings.Builder
	tools       []toolCall
	finish      string
	usage       *wireUsage
	chunks      int
	length      int64
	lengthLimit int64
}

// toolCall is a tool call as it appears in a whole message.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// toolFunction is the function that a tool call names.
type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// add takes one event. Events of another answer fail with ErrForeignAnswer.
func (a *assembler) add(chunk *wireChunk, length int) error {
	if a.id == "" {
		a.id, a.model, a.created = chunk.ID, chunk.Model, chunk.Created
	}
	if chunk.ID != "" && chunk.ID != a.id {
		return fmt.Errorf("%w: event of %q within the stream of %q", ErrForeignAnswer, chunk.ID, a.id)
	}
	a.length += int64(length)
	if a.lengthLimit > 0 && a.length > a.lengthLimit {
		return ErrAnswerTooLong
	}
	if chunk.Usage != nil {
		a.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Index != 0 {
			return fmt.Errorf("%w: choice %d was not asked for", ErrForeignAnswer, choice.Index)
		}
		if choice.Delta.Content != nil {
			a.hasContent = true
			a.content.WriteString(*choice.Delta.Content)
			a.chunks++
		}
		if choice.Delta.Refusal != nil {
			a.refusal.WriteString(*choice.Delta.Refusal)
		}
		if err := a.addTools(choice.Delta.ToolCalls); err != nil {
			return err
		}
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			a.finish = *choice.FinishReason
		}
	}
	return nil
}

func (a *assembler) addTools(parts []wireToolCall) error {
	for _, part := range parts {
		if part.Index < 0 || part.Index >= maxToolCalls {
			return fmt.Errorf("%w: tool call %d is out of range", ErrCutShort, part.Index)
		}
		for len(a.tools) <= part.Index {
			a.tools = append(a.tools, toolCall{Type: "function"})
		}
		tool := &a.tools[part.Index]
		if part.ID != "" {
			tool.ID = part.ID
		}
		if part.Type != "" {
			tool.Type = part.Type
		}
		tool.Function.Name += part.Function.Name
		tool.Function.Arguments += part.Function.Arguments
		a.chunks++
	}
	return nil
}

// message returns the assistant's message.
func (a *assembler) message() (structs.Message, error) {
	message := structs.Message{Role: roleAssistant, Content: json.RawMessage("null")}
	if a.hasContent {
		content, err := json.Marshal(a.content.String())
		if err != nil {
			return message, err
		}
		message.Content = content
	}
	if len(a.tools) > 0 {
		tools, err := json.Marshal(a.tools)
		if err != nil {
			return message, err
		}
		message.ToolCalls = tools
	}
	return message, nil
}

// answer returns the whole answer.
func (a *assembler) answer() (*Answer, error) {
	message, err := a.message()
	if err != nil {
		return nil, err
	}
	usage := structs.Usage{CompletionTokens: a.chunks, TotalTokens: a.chunks}
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
			"finish_reason": a.finish,
		}},
		"usage": usage,
	})
	if err != nil {
		return nil, err
	}
	return &Answer{Body: body, Message: message, FinishReason: a.finish, Usage: usage}, nil
}
