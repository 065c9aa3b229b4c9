package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"cowslipgw/internal/structs"
)

// chatRequest is the part of a chat completions request that the engine reads.
type chatRequest struct {
	Model               string            `json:"model"`
	Messages            []structs.Message `json:"messages"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	MinTokens           int               `json:"min_tokens"`
	Stream              bool              `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Priority int `json:"priority"`
}

// limit returns how many tokens the answer may have.
func (r *chatRequest) limit(fallback int) int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	default:
		return fallback
	}
}

// contentText returns the text of a message's content, which is a string, a list
// of parts, or absent. Parts other than text count with their JSON.
func contentText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text
	}
	var parts []json.RawMessage
	if json.Unmarshal(content, &parts) != nil {
		return string(content)
	}
	var all strings.Builder
	for _, part := range parts {
		var decoded struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		if json.Unmarshal(part, &decoded) == nil && decoded.Type == "text" {
			all.WriteString(decoded.Text)
			continue
		}
		var compact bytes.Buffer
		_ = json.Compact(&compact, part) // part is valid JSON
		all.Write(compact.Bytes())
	}
	return all.String()
}

// callHeaders are the headers that the engine reads.
type callHeaders struct {
	program uint64
	fence   uint64
	call    string
	// resumeAfter is the number of tokens that the caller has; resumes says whether the
	// header was there.
	resumeAfter int
	resumes     bool
}

func readHeaders(header http.Header) (callHeaders, error) {
	parsed := callHeaders{call: header.Get("X-Call-Id")}
	var err error
	if parsed.program, err = number(header, "X-Program"); err != nil {
		return callHeaders{}, err
	}
	if parsed.fence, err = number(header, "X-Fence"); err != nil {
		return callHeaders{}, err
	}
	after, err := number(header, "Last-Event-ID")
	if err != nil {
		return callHeaders{}, err
	}
	parsed.resumes = header.Get("Last-Event-ID") != ""
	parsed.resumeAfter = int(after)
	return parsed, nil
}

// number reads a decimal header; 0 when it is absent.
func number(header http.Header, name string) (uint64, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("header %s is %q, not a decimal number", name, text)
	}
	return value, nil
}
