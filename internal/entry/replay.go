package entry

import (
	"encoding/json"
	"net/http"

	"cowslipgw/internal/program"
)

// storedChat is the part of a stored answer that a replay as a stream needs.
type storedChat struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Message      map[string]json.RawMessage `json:"message"`
		FinishReason string                     `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// replay answers with a stored answer, in the form that the retry asks for.
func replay(reply *reply, request *chatRequest, answer *program.StoredAnswer) {
	var stored storedChat
	if answer.Status != http.StatusOK || !request.stream ||
		json.Unmarshal(answer.Body, &stored) != nil || len(stored.Choices) != 1 {
		reply.stored(answer)
		return
	}
	reply.w.Header().Set(replayedHeader, "true")
	for _, chunk := range stored.chunks(request.includeUsage) {
		data, err := json.Marshal(chunk)
		if err != nil || reply.event(data) != nil {
			return
		}
	}
	reply.finish()
}

// chunks returns the events of the stored answer: message, finish reason, usage.
func (s *storedChat) chunks(includeUsage bool) []map[string]any {
	choice := s.Choices[0]
	chunks := []map[string]any{
		s.chunk([]any{map[string]any{"index": 0, "delta": streamed(choice.Message), "finish_reason": nil}}),
		s.chunk([]any{map[string]any{"index": 0, "delta": struct{}{}, "finish_reason": choice.FinishReason}}),
	}
	if includeUsage && len(s.Usage) > 0 {
		last := s.chunk([]any{})
		last["usage"] = s.Usage
		chunks = append(chunks, last)
	}
	return chunks
}

// chunk returns one event with the given choices.
func (s *storedChat) chunk(choices []any) map[string]any {
	return map[string]any{
		"id":      s.ID,
		"object":  "chat.completion.chunk",
		"created": s.Created,
		"model":   s.Model,
		"choices": choices,
	}
}

// streamed adds to each tool call the index that the streamed form requires.
func streamed(message map[string]json.RawMessage) map[string]any {
	delta := make(map[string]any, len(message))
	for name, value := range message {
		delta[name] = value
	}
	var tools []map[string]any
	if raw, ok := message["tool_calls"]; ok && json.Unmarshal(raw, &tools) == nil {
		for i := range tools {
			tools[i]["index"] = i
		}
		delta["tool_calls"] = tools
	}
	return delta
}
