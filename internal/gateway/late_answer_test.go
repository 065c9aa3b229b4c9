package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestAnswerAfterPause guards against a request that ends without an answer because its host was
// paused, or short of processor time, until after the time in which the answer may be written.
func TestAnswerAfterPause(t *testing.T) {
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	var wait sync.WaitGroup
	for _, path := range []string{"/safe/1", "/unsafe/1", "/draft/1", "/chat/1"} {
		for _, request := range []string{"GET %s HTTP/1.1\r\n%s\r\n", "POST %s HTTP/1.1\r\nContent-Length: 1\r\n%s\r\nx"} {
			for _, pause := range []time.Duration{0, 40 * time.Millisecond, 100 * time.Millisecond, 1050 * time.Millisecond, 1300 * time.Millisecond} {
				wait.Go(func() {
					c := gw.keep(t, fmt.Sprintf(request, path, fmt.Sprintf("Host: h\r\nId: a\r\nKey: k\r\nPatience: 50\r\nPause: %v\r\n", pause)))
					if got := c.answer(3 * time.Second); got == 0 || pause >= 100*time.Millisecond && got < http.StatusBadRequest {
						t.Errorf("%s after %v: status %d", path, pause, got)
					}
				})
			}
		}
	}
	wait.Wait()
}
