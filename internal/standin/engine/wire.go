package engine

// usage is the token count of the chat completions protocol.
type usage struct {
	PromptTokens        int64         `json:"prompt_tokens"`
	CompletionTokens    int64         `json:"completion_tokens"`
	TotalTokens         int64         `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

// promptDetails splits the prompt tokens.
type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// completion is an answer, and one chunk of a streamed answer.
type completion struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint,omitempty"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
}

// choice holds a message in a whole answer and a delta in a chunk.
type choice struct {
	Index        int      `json:"index"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// content is a message or a part of it.
type content struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}
