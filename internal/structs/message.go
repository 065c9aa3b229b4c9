package structs

import "encoding/json"

// Message is one message of a chat in the format of the chat completions protocol.
// Content keeps the caller's JSON, since it may be a string or a list of parts.
type Message struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content,omitempty"`
	Name       string          `json:"name,omitempty"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
}

// Usage counts the tokens of one call.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// CachedTokens is the part of PromptTokens that the engine found in its prefix
	// cache.
	CachedTokens int `json:"-"`
}
