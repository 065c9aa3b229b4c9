package entry

import (
	"encoding/json"
	"net/http"

	"cowslipgw/internal/program"
)

// storedChat is the part of a stored answer that is needed to replay it as a stream.
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

// replay responds with a stored answer, in the form that the retry requests.
func replay(reply *reply, request *chatRequest, answer *program.StoredAnswer) {
	var stored storedChat
	if answer.Status != http.StatusOK || !request.stream ||
		json.Unmarshal(answer.Body, &stored) != nil || len(stored.Choices) != 1 {
		reply.writeStored(answer)
		return
	}
	reply.w.Header().Set(headerReplayed, "true")
	for _, chunk := range stored.chunks(request.includeUsage) {
		data, err := json.Marshal(chunk)
		if err != nil || reply.writeEvent(data) != nil {
			return
		}
	}
	reply.finish()
}

// chunks returns the events of the stored answer: the message, the finish reason and,
// if requested, the usage.
func (s *storedChat) chunks(includeUsage bool) []map[string]any {
	choice := s.Choices[0]
	chunks := []map[string]any{
		s.chunk([]any{map[string]any{"index": 0, "delta": streamDelta(choice.Message), "finish_reason": nil}}),
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

// streamDelta returns the delta for a message. It adds to each tool call the index that
// the streamed form requires.
func streamDelta(message map[string]json.RawMessage) map[string]any {
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
