package upstream_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"cowslipgw/internal/httpanswer/answertest"
	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

// newTCPClient returns a client over TCP.
func newTCPClient(t *testing.T) *upstream.Client {
	t.Helper()
	client := upstream.NewClient(upstream.ClientOptions{Network: transport.TCP{}, FirstByteTimeout: 5 * time.Second,
		AnswerTimeout: 5 * time.Second, StreamIdleTimeout: time.Second, AnswerLimit: 1 << 20})
	t.Cleanup(client.Close)
	return client
}

// post sends a request to an app and reads the answer to its end.
func post(client *upstream.Client, addr string, body []byte) error {
	response, err := client.App(context.Background(), addr, upstream.AppRequest{Method: http.MethodPost, Path: "/x",
		Body: bytes.NewReader(body), ContentLength: int64(len(body))})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// refuseAll checks that calls to upstreams take none of the answers, neither as an answer nor for what became of the
// call. Answers returns answers with a status and a body.
func refuseAll(t *testing.T, answers func(status, body string) []string) {
	t.Helper()
	const stale = `{"error":{"code":"stale_fence"}}`
	ctx := context.Background()
	client := newTCPClient(t)
	app := func(addr string) error { return post(client, addr, make([]byte, 10)) }
	chat := func(addr string) error {
		_, err := client.Chat(ctx, addr, upstream.CallHeader{}, []byte("{}"))
		return err
	}
	order := func(addr string) error {
		return client.Order(ctx, addr, upstream.Order{Kind: upstream.OrderRelease, Program: 7, Fence: 1})
	}
	importKV := func(addr string) error { return client.ImportKV(ctx, addr, 7, 1, bytes.NewReader([]byte("{}"))) }
	for _, c := range []struct {
		name, status, body string
		call               func(addr string) error
	}{
		{"app", "200", "ok", app}, {"app", "503", "no", app}, {"chat", "200", wholeAnswer, chat}, {"chat", "503", "no", chat},
		{"chat", "409", stale, chat}, {"order", "200", "ok", order}, {"order", "409", stale, order}, {"order", "503", "no", order},
		{"import", "200", "ok", importKV}, {"import", "409", stale, importKV},
	} {
		for _, answer := range answers(c.status, c.body) {
			err := c.call(answertest.Serve(t, answer))
			var status *upstream.StatusError
			if err == nil || errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrStaleFence) || errors.As(err, &status) {
				t.Errorf("%s, %q: error %v", c.name, answer, err)
			}
		}
	}
}

// TestInvalidAnswers guards against passing on an answer that does not follow the protocol, and against acting on it.
func TestInvalidAnswers(t *testing.T) { refuseAll(t, answertest.Invalid) }

// TestTruncatedAnswers guards against taking the status of an answer that is cut for what became of the call.
func TestTruncatedAnswers(t *testing.T) { refuseAll(t, answertest.Truncated) }

// TestAnswerResetDuringUpload guards against a part of an answer that looks whole because the connection was reset
// while a long request was still written.
func TestAnswerResetDuringUpload(t *testing.T) {
	const rounds = 20
	client := newTCPClient(t)
	long := make([]byte, 3<<20)
	for _, answer := range []string{"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 503 X\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n" + wholeAnswer} {
		addr := answertest.ServeReset(t, answer)
		for range rounds {
			_, err := client.Chat(context.Background(), addr, upstream.CallHeader{}, long)
			if !errors.Is(err, upstream.ErrIncompleteAnswer) {
				t.Errorf("chat, %q: error %v", answer, err)
			}
			if err := post(client, addr, long); !errors.Is(err, upstream.ErrIncompleteAnswer) {
				t.Errorf("app, %q: error %v", answer, err)
			}
		}
	}
}
