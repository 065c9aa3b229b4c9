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

// world is an engine and a client of it on an in-memory network.
type world struct {
	t       *testing.T
	network *transport.Memory
	engine  *engine.Engine
	http    *http.Client
}

func newWorld(t *testing.T, settings engine.Settings) *world {
	t.Helper()
	w := &world{t: t, network: transport.NewMemory()}
	settings.Network = w.network.Host(engineIP)
	w.engine = engine.New(settings)
	served, err := standin.Listen(context.Background(), settings.Network, address, w.engine)
	if err != nil {
		t.Fatal(err)
	}
	tr := transport.HTTPTransport(w.network.Host(clientIP))
	w.http = &http.Client{Transport: tr}
	t.Cleanup(func() {
		tr.CloseIdleConnections()
		_ = served.Close()
		w.engine.Close()
	})
	return w
}

// answer is the part of a whole answer that tests look at.
type answer struct {
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

// do sends a request with headers given as "Name: value".
func (w *world) do(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	return w.http.Do(request)
}

// json sends a request and decodes the answer into value.
func (w *world) json(method, path, body string, value any, headers ...string) int {
	w.t.Helper()
	response, err := w.do(context.Background(), method, path, body, headers...)
	if err != nil {
		w.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	if value != nil && len(data) > 0 {
		if err := json.Unmarshal(data, value); err != nil {
			w.t.Fatalf("%s: %v", data, err)
		}
	}
	return response.StatusCode
}

// chat makes a call that is answered as a whole.
func (w *world) chat(body string, headers ...string) answer {
	w.t.Helper()
	var a answer
	a.status = w.json(http.MethodPost, "/v1/chat/completions", body, &a, headers...)
	return a
}

// order gives an order and returns the status.
func (w *world) order(order engine.Order) int {
	w.t.Helper()
	body, _ := json.Marshal(order)
	return w.json(http.MethodPost, "/v1/orders", string(body), nil)
}

// turns returns a request with user messages and the answers to them in between.
func turns(extra string, texts ...string) string {
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

// stream is a streamed answer as it arrived.
type stream struct {
	text   string
	lastID string
	tokens int
	done   bool
}

// readStream reads up to limit tokens, or to the end for 0. It returns the error
// that ended the stream early.
func readStream(body io.Reader, limit int) (s stream, err error) {
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
