package logservice_test

import (
	"context"
	"errors"
	"testing"

	"cowslipgw/internal/httpanswer/answertest"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/transport"
)

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
