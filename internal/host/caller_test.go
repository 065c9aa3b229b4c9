package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
)

// callerTimeout bounds one call of a caller.
const callerTimeout = 2 * time.Minute

// answer is the response that a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set when the connection broke.
	err error
}

// run returns the "run" member of the answer, or "" if there is none.
func (a answer) run() structs.Run {
	var problem struct {
		Run structs.Run `json:"run"`
	}
	_ = json.Unmarshal([]byte(a.body), &problem)
	return problem.Run
}

// code returns the code of the problem in the answer, or "" if there is none.
func (a answer) code() string {
	var problem struct {
		Type string `json:"type"`
	}
	_ = json.Unmarshal([]byte(a.body), &problem)
	return problem.Type[strings.LastIndex(problem.Type, ":")+1:]
}

// text returns the text of a chat completion, or "" if the answer is none.
func (a answer) text() string {
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(a.body), &completion) != nil || len(completion.Choices) == 0 {
		return ""
	}
	return completion.Choices[0].Message.Content
}

// call is one request of a caller.
type call struct {
	method, path, key, body string
	header                  map[string]string
}

// chat returns a chat call. If program is empty, the call belongs to no program.
func (s *site) chat(account, program, text string) call {
	body, err := json.Marshal(map[string]any{
		"model":      "assistant",
		"max_tokens": 64,
		"messages":   []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	c := call{method: http.MethodPost, path: "/v1/chat/completions", key: s.key(account), body: string(body)}
	if program != "" {
		c = c.with("Cowslip-Program", program)
	}
	return c
}

// pickup returns a call of a non-idempotent route with an idempotency key.
func (s *site) pickup(account, idempotencyKey, body string) call {
	c := call{method: http.MethodPost, path: "/apps/" + s.config.appPool + "/pickups", key: s.key(account), body: body}
	return c.with("Idempotency-Key", idempotencyKey)
}

// with returns a copy of the call with an additional header.
func (c call) with(name, value string) call {
	header := map[string]string{name: value}
	for k, v := range c.header {
		header[k] = v
	}
	c.header = header
	return c
}

// send sends a call to the i-th host and returns the answer.
func (s *site) send(i int, c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	return s.sendTo(ctx, s.host(i).EntryAddress(), c)
}

// sendTo sends a call to an address on a new connection.
func (s *site) sendTo(ctx context.Context, address string, c call) answer {
	tr := transport.HTTPTransport(s.network.Host(callerIP))
	defer tr.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		s.t.Fatal(err)
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := tr.RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// executions returns how often the app services ran a request with an idempotency key.
func (s *site) executions(idempotencyKey string) int {
	total := 0
	for _, service := range s.apps {
		for _, run := range service.Runs() {
			if run.Key == idempotencyKey {
				total += run.Runs
			}
		}
	}
	return total
}
