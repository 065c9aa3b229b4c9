package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// answerTo sends the head of a request with a deadline of 50 ms, the last byte of its body after
// the given delay, and returns whether a complete answer came, and its status.
func (gw *testGateway) answerTo(t *testing.T, path string, delay time.Duration) (status int, complete bool) {
	t.Helper()
	c := gw.dialRaw(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: "+path+delay.String()+"\r\nKey: k\r\nPatience: 50\r\nContent-Length: 1\r\n\r\n")
	time.Sleep(delay)
	// The host may have answered already.
	_, _ = io.WriteString(c, "x")
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err == nil
}

// TestAnswerAroundDeadline guards against a request that ends without an answer because its time
// runs out while its body arrives, while it waits or while a replica begins to answer.
func TestAnswerAroundDeadline(t *testing.T) {
	var runs atomic.Int64
	for name, upstream := range map[string]http.HandlerFunc{
		"stream": streaming(&runs),
		// The answer is no event, so a stream ends before its first one.
		"no event": echoing(&runs),
		"silent": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		},
		"silent after the head": func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			signed(w, r)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t, 0, upstream)
			var wait sync.WaitGroup
			for _, path := range []string{"/safe/1", "/unsafe/1", "/draft/1", "/chat/1", "/resumable/1"} {
				for delay := 20 * time.Millisecond; delay <= 60*time.Millisecond; delay += time.Millisecond {
					wait.Go(func() {
						status, complete := gw.answerTo(t, path, delay)
						if isCutStream := status == http.StatusOK && name == "stream"; !complete && !isCutStream {
							t.Errorf("%s, body after %v: no complete answer (status %d)", path, delay, status)
						}
					})
				}
			}
			wait.Wait()
			gw.waitIdle(t)
		})
	}
}
