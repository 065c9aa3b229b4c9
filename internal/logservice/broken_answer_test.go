package logservice_test

import (
	"context"
	"errors"
	"slices"
	"testing"

	"cowslipgw/internal/httpanswer/answertest"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/transport"
)

// TestBrokenAnswers guards against an answer of the log service that is broken and decides whether an append was
// executed, or what was read.
func TestBrokenAnswers(t *testing.T) {
	for _, c := range []struct{ status, body string }{{"200", `{"offset":5}`}, {"400", ""}, {"410", `{"first":9}`}} {
		for _, answer := range slices.Concat(answertest.Invalid(c.status, c.body), answertest.Truncated(c.status, c.body)) {
			client := logservice.NewClient(transport.TCP{}, answertest.Serve(t, answer))
			_, appendErr := client.Append(context.Background(), "s", "id", []byte("x"))
			_, readErr := client.Read(context.Background(), "s", 0, 1, 0)
			for _, err := range []error{appendErr, readErr} {
				if !errors.Is(err, logservice.ErrUnavailable) || errors.Is(err, logservice.ErrRejected) || errors.Is(err, logservice.ErrTrimmed) {
					t.Errorf("%q: error %v", answer, err)
				}
			}
			client.Close()
		}
	}
}

// TestAnswerResetDuringAppend guards against a part of an answer that looks whole because the connection was reset
// while a long append was still written.
func TestAnswerResetDuringAppend(t *testing.T) {
	const rounds = 20
	for _, answer := range []string{"HTTP/1.1 200 OK\r\n\r\n{\"offset\":5}", "HTTP/1.1 400 X\r\n\r\nbu"} {
		client := logservice.NewClient(transport.TCP{}, answertest.ServeReset(t, answer))
		for range rounds {
			if _, err := client.Append(context.Background(), "s", "id", make([]byte, 2<<20)); !errors.Is(err, logservice.ErrUnavailable) {
				t.Errorf("%q: error %v", answer, err)
			}
		}
		client.Close()
	}
}
