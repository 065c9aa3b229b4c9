package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

const wholeAnswer = `{"id":"c1","object":"chat.completion","choices":[{"index":0,` +
	`"message":{"role":"assistant","content":"hi"},"finish_reason":"stop"}],` +
	`"usage":{"prompt_tokens":3,"completion_tokens":1,"total_tokens":4}}`

// TestChatHeaders guards against calls without the host's credential or the call's
// identifiers, and against answers without usage.
func TestChatHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := transport.NewMemory()
		var header http.Header
		serve(t, network, engineAddress, func(w http.ResponseWriter, r *http.Request) {
			header = r.Header
			io.WriteString(w, wholeAnswer)
		})
		call := upstream.CallHeader{Program: 7, Fence: 9, Call: "h1-2-3", IdempotencyKey: "k1"}
		answer, err := newClient(t, network).Chat(context.Background(), engineAddress, call, []byte(`{}`))
		is.NoErr(err)
		is.Equal(answer.Usage.TotalTokens, 4)
		is.Equal(string(answer.Message.Content), `"hi"`)
		is.Equal(header.Get("Authorization"), "Bearer host-credential")
		is.Equal(header.Get("X-Program"), "7")
		is.Equal(header.Get("X-Fence"), "9")
		is.Equal(header.Get("X-Call-Id"), "h1-2-3")
		is.Equal(header.Get("Idempotency-Key"), "k1")
	})
}

// TestNeverSentTwice guards against net/http retrying a request on its own when a
// reused connection breaks after the request was written.
func TestNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		for _, body := range []string{"", "payload"} {
			t.Run(method+" "+body, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					network := transport.NewMemory()
					var calls atomic.Int64
					serve(t, network, engineAddress, func(w http.ResponseWriter, r *http.Request) {
						if calls.Add(1) > 1 {
							conn, _, _ := w.(http.Hijacker).Hijack()
							conn.Close()
						}
					})
					client := newClient(t, network)
					do := func() error {
						request := upstream.AppRequest{Method: method, Path: "/x", Call: upstream.CallHeader{IdempotencyKey: "k"}}
						if body != "" {
							request.Body, request.ContentLength = strings.NewReader(body), int64(len(body))
						}
						response, err := client.App(context.Background(), engineAddress, request)
						if err == nil {
							io.Copy(io.Discard, response.Body)
							response.Body.Close()
						}
						return err
					}
					is.NoErr(do())
					synctest.Wait()
					err := do()
					is.True(errors.Is(err, upstream.ErrIncompleteAnswer))
					is.True(!errors.Is(err, upstream.ErrNotSent))
					is.Equal(calls.Load(), int64(2))
				})
			})
		}
	}
}

// TestNotSent guards against a refused connection that is not reported as ErrNotSent,
// and against a written request that is.
func TestNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := transport.NewMemory()
		client := newClient(t, network)
		_, err := client.Chat(context.Background(), engineAddress, upstream.CallHeader{}, []byte(`{}`))
		is.True(errors.Is(err, upstream.ErrNotSent))
		serve(t, network, engineAddress, func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = client.Chat(ctx, engineAddress, upstream.CallHeader{}, []byte(`{}`))
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(!errors.Is(err, upstream.ErrNotSent))
	})
}

// TestWholeAnswers guards against partial answers that are accepted as complete.
func TestWholeAnswers(t *testing.T) {
	raw := func(head, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			conn, buffer, _ := w.(http.Hijacker).Hijack()
			io.WriteString(buffer, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
			buffer.Flush()
			conn.Close()
		}
	}
	stream := func(events ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for _, e := range events {
				io.WriteString(w, "data: "+e+"\n\n")
			}
		}
	}
	delta := `{"id":"a","choices":[{"index":0,"delta":{"content":"x"}}]}`
	finish := `{"id":"a","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
	foreign := `{"id":"b","choices":[{"index":0,"delta":{"content":"y"}}]}`
	cases := []struct {
		name    string
		stream  bool
		handler http.HandlerFunc
		want    error
	}{
		{"short body", false, raw("Content-Length: 900\r\n", wholeAnswer), upstream.ErrIncompleteAnswer},
		{"no framing", false, raw("", wholeAnswer), upstream.ErrIncompleteAnswer},
		{"half JSON", false, raw("Content-Length: 10\r\n", wholeAnswer[:10]), upstream.ErrIncompleteAnswer},
		{"foreign call", false, raw("X-Call-Id: other\r\nContent-Length: 2\r\n", "{}"), upstream.ErrAnswerMismatch},
		{"silent", false, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, upstream.ErrTimeout},
		{"whole stream", true, stream(delta, finish, "[DONE]"), io.EOF},
		{"no finish reason", true, stream(delta, "[DONE]"), upstream.ErrIncompleteAnswer},
		{"no final event", true, stream(delta, finish), upstream.ErrIncompleteAnswer},
		{"event of another answer", true, stream(delta, foreign, finish, "[DONE]"), upstream.ErrAnswerMismatch},
		{"error event", true, stream(delta, `{"error":{"message":"out of memory"}}`), upstream.ErrIncompleteAnswer},
		{"silent stream", true, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, upstream.ErrTimeout},
		{"stalled stream", true, func(w http.ResponseWriter, r *http.Request) {
			stream(delta)(w, r)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, upstream.ErrIncompleteAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := transport.NewMemory()
				serve(t, network, engineAddress, c.handler)
				client := newClient(t, network)
				err := read(client, c.stream)
				is.True(errors.Is(err, c.want))
			})
		})
	}
}

// read performs one call and returns the error that ended it.
func read(client *upstream.Client, streamed bool) error {
	call := upstream.CallHeader{Call: "mine"}
	if !streamed {
		_, err := client.Chat(context.Background(), engineAddress, call, []byte(`{}`))
		return err
	}
	stream, err := client.ChatStream(context.Background(), engineAddress, call, []byte(`{}`))
	if err != nil {
		return err
	}
	defer stream.Close()
	for err == nil {
		_, err = stream.Next()
	}
	return err
}

// TestAppHeaders guards against forwarding hop-by-hop headers or callers' keys, in
// either direction.
func TestAppHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := transport.NewMemory()
		listener, err := network.Host("10.0.0.1").Listen(context.Background(), engineAddress)
		is.NoErr(err)
		defer listener.Close()
		seen := make(chan http.Header, 1)
		go answerRaw(listener, seen, "HTTP/1.1 200 OK\r\nConnection: x-hop\r\nX-Hop: 1\r\nX-Fence: 4\r\nX-Kept: 1\r\nContent-Length: 0\r\n\r\n")
		response, err := newClient(t, network).App(context.Background(), engineAddress, upstream.AppRequest{
			Method: http.MethodGet,
			Path:   "/a%20b",
			Header: http.Header{
				"Authorization": {"Bearer caller"}, "Connection": {"X-Secret, close"}, "X-Secret": {"1"},
				"Cookie": {"c=1"}, "X-Fence": {"99"}, "Cowslip-Program": {"p"}, "Upgrade": {"h2c"},
			},
		})
		is.NoErr(err)
		defer response.Body.Close()
		header := <-seen
		is.Equal(header.Get("Authorization"), "Bearer host-credential")
		is.Equal(header.Get("Cookie"), "c=1")
		for _, name := range []string{"X-Secret", "X-Fence", "Cowslip-Program", "Upgrade", "User-Agent"} {
			is.Equal(header.Get(name), "")
		}
		is.Equal(response.Header.Get("X-Kept"), "1")
		is.Equal(response.Header.Get("X-Hop"), "")
		is.Equal(response.Header.Get("X-Fence"), "")
	})
}

// answerRaw answers one request with raw bytes.
func answerRaw(listener net.Listener, seen chan<- http.Header, raw string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	seen <- request.Header
	io.WriteString(conn, raw)
}
