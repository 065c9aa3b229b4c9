package upstream

import (
	"encoding/json"

	"cowslipgw/internal/structs"
)

// doneData is the data of the final event of a stream.
const doneData = "[DONE]"

// roleAssistant is the role of a message in an answer.
const roleAssistant = "assistant"

// wireUsage is the usage object of the chat completions protocol.
type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// usage converts u to a structs.Usage.
func (u wireUsage) usage() structs.Usage {
	return structs.Usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.TotalTokens,
		CachedTokens:     u.Details.CachedTokens,
	}
}

// wireToolCall is a tool call of a message, or a fragment of one in a stream.
type wireToolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// wireChunk is one event of a streamed answer.
type wireChunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Role      string         `json:"role"`
			Content   *string        `json:"content"`
			Refusal   *string        `json:"refusal"`
			ToolCalls []wireToolCall `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *wireUsage      `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// wireAnswer is an answer that is not streamed.
type wireAnswer struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Message      structs.Message `json:"message"`
		FinishReason string          `json:"finish_reason"`
	} `json:"choices"`
	Usage *wireUsage `json:"usage"`
}

// Answer is a complete answer of an engine.
type Answer struct {
	// Body is the answer as a JSON object of the chat completions protocol.
	Body []byte
	// Message is the assistant message.
	Message      structs.Message
	FinishReason string
	Usage        structs.Usage
}
