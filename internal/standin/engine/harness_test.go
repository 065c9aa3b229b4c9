package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/transport"
)

const (
	engineIP = "10.0.0.1"
	clientIP = "10.0.0.2"
	address  = engineIP + ":80"
)

// harness is an engine and a client connected by an in-memory network.
type harness struct {
	t       *testing.T
	network *transport.Memory
	engine  *engine.Engine
	http    *http.Client
}

func newHarness(t *testing.T, settings engine.Settings) *harness {
	t.Helper()
	h := &harness{t: t, network: transport.NewMemory()}
	settings.Network = h.network.Host(engineIP)
	h.engine = engine.New(settings)
	server, err := standin.Listen(context.Background(), settings.Network, address, h.engine)
	if err != nil {
		t.Fatal(err)
	}
	httpTransport := transport.HTTPTransport(h.network.Host(clientIP))
	h.http = &http.Client{Transport: httpTransport}
	t.Cleanup(func() {
		httpTransport.CloseIdleConnections()
		_ = server.Close()
		h.engine.Close()
	})
	return h
}

// chatResponse contains the fields of a non-streamed response that tests check.
type chatResponse struct {
	status  int
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// do sends a request. Headers have the form "Name: value".
func (h *harness) do(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	return h.http.Do(request)
}

// json sends a request, decodes the response body into value and returns the
// status.
func (h *harness) json(method, path, body string, value any, headers ...string) int {
	h.t.Helper()
	response, err := h.do(context.Background(), method, path, body, headers...)
	if err != nil {
		h.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	if value != nil && len(data) > 0 {
		if err := json.Unmarshal(data, value); err != nil {
			h.t.Fatalf("%s: %v", data, err)
		}
	}
	return response.StatusCode
}

// chat makes a call whose response is not streamed.
func (h *harness) chat(body string, headers ...string) chatResponse {
	h.t.Helper()
	var a chatResponse
	a.status = h.json(http.MethodPost, "/v1/chat/completions", body, &a, headers...)
	return a
}

// order sends an order and returns the response status.
func (h *harness) order(order engine.Order) int {
	h.t.Helper()
	body, _ := json.Marshal(order)
	return h.json(http.MethodPost, "/v1/orders", string(body), nil)
}

// chatBody returns a request body with alternating user and assistant messages,
// starting with a user message. extra is appended to the JSON members.
func chatBody(extra string, texts ...string) string {
	var messages bytes.Buffer
	for i, text := range texts {
		role := "user"
		if i%2 == 1 {
			role = "assistant"
		}
		if i > 0 {
			messages.WriteByte(',')
		}
		fmt.Fprintf(&messages, `{"role":%q,"content":%q}`, role, text)
	}
	return fmt.Sprintf(`{"model":"default-llm","messages":[%s]%s}`, messages.String(), extra)
}

// streamResult is what was received of a streamed response.
type streamResult struct {
	text   string
	lastID string
	tokens int
	done   bool
}

// readStream reads up to limit tokens, or to the end of the stream if limit is 0.
// It returns the error that ended the stream early.
func readStream(body io.Reader, limit int) (s streamResult, err error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, found := strings.CutPrefix(line, "id: "); found {
			s.lastID = id
		}
		data, found := strings.CutPrefix(line, "data: ")
		switch {
		case !found:
			continue
		case data == "[DONE]":
			s.done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return s, err
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			s.text += chunk.Choices[0].Delta.Content
			s.tokens++
		}
		if limit > 0 && s.tokens == limit {
			return s, nil
		}
	}
	return s, scanner.Err()
}
