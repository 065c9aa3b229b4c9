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

// chatRequest contains the fields of a chat completions request that the engine
// uses.
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

// maxAnswerTokens returns the maximum number of tokens of the answer, which is
// fallback if the request sets no limit.
func (r *chatRequest) maxAnswerTokens(fallback int) int {
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
// of parts, or absent. Non-text parts contribute their compact JSON.
func contentText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text
	}
	var parts []json.RawMessage
	if json.Unmarshal(content, &parts) != nil {
		return string(content)
	}
	var builder strings.Builder
	for _, part := range parts {
		var decoded struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		if json.Unmarshal(part, &decoded) == nil && decoded.Type == "text" {
			builder.WriteString(decoded.Text)
			continue
		}
		var compact bytes.Buffer
		_ = json.Compact(&compact, part) // part is valid JSON
		builder.Write(compact.Bytes())
	}
	return builder.String()
}

// callHeaders contains the parsed request headers of a call.
type callHeaders struct {
	program uint64
	fence   uint64
	callID  string
	// resumeAfter is the number of tokens that the caller has received. resume reports
	// whether Last-Event-ID was present.
	resumeAfter int
	resume      bool
}

func parseHeaders(header http.Header) (callHeaders, error) {
	parsed := callHeaders{callID: header.Get("X-Call-Id")}
	var err error
	if parsed.program, err = parseDecimalHeader(header, "X-Program"); err != nil {
		return callHeaders{}, err
	}
	if parsed.fence, err = parseDecimalHeader(header, "X-Fence"); err != nil {
		return callHeaders{}, err
	}
	after, err := parseDecimalHeader(header, "Last-Event-ID")
	if err != nil {
		return callHeaders{}, err
	}
	parsed.resume = header.Get("Last-Event-ID") != ""
	parsed.resumeAfter = int(after)
	return parsed, nil
}

// parseDecimalHeader returns the value of a decimal header, or 0 if it is absent.
func parseDecimalHeader(header http.Header, name string) (uint64, error) {
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
