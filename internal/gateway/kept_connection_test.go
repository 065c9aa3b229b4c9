package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// keptConn is a connection that a caller uses for several requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (gw *testGateway) keep(t *testing.T, data string) *keptConn {
	t.Helper()
	c := gw.dialRaw(t, data)
	return &keptConn{c, bufio.NewReader(c)}
}

// answer reads an answer and returns its status; 0 if it is not complete after limit.
func (c *keptConn) answer(limit time.Duration) int {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err = io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// TestKeptConnectionAfterIdleTime guards against answers that are lost on kept connections because
// the time limits of an earlier, short request still apply.
func TestKeptConnectionAfterIdleTime(t *testing.T) {
	var runs atomic.Int64
	gw := newTestGateway(t, time.Minute, echoing(&runs))
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	wait.Go(func() {
		for version := int64(2); ctx.Err() == nil; version++ {
			spec := newTableSpec()
			spec.version = version
			spec.routes[0].Timeout = time.Duration(1+version%2) * time.Second
			gw.source.next.Store(spec.table())
			time.Sleep(30 * time.Millisecond)
		}
	})
	const first = "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nPatience: 200\r\n\r\n"
	for status, next := range map[int]string{
		http.StatusOK:              "/safe/1 k",
		http.StatusNotFound:        "/none/1 k",
		http.StatusUnauthorized:    "/safe/1 unknown",
		http.StatusTooManyRequests: "/safe/1 ks",
	} {
		var path, key string
		_, _ = fmt.Sscan(next, &path, &key)
		for _, method := range []string{"GET", "POST"} {
			for _, idle := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond} {
				wait.Go(func() {
					c := gw.keep(t, first)
					if got := c.answer(time.Second); got != http.StatusOK {
						t.Errorf("first request: status %d", got)
					}
					time.Sleep(idle)
					request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: b\r\nKey: %s\r\n", method, path, key)
					if method == "POST" {
						request += "Content-Length: 1\r\n\r\nx"
					} else {
						request += "\r\n"
					}
					_, err := io.WriteString(c, request)
					got := c.answer(2 * time.Second)
					isAdmitted := status == http.StatusTooManyRequests && got == http.StatusOK // the first of its account
					if err != nil || got != status && !isAdmitted {
						t.Errorf("%s %s after %v: status %d, %v", method, next, idle, got, err)
					}
				})
			}
		}
	}
	time.Sleep(2 * time.Second)
}

// TestNextRequestDuringSilence guards against an answer that is lost because the caller sends its
// next request, or a part of it, while the replica is silent.
func TestNextRequestDuringSilence(t *testing.T) {
	var runs atomic.Int64
	const next = "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: b\r\nKey: k\r\nContent-Length: 1\r\n\r\nx"
	gw := newTestGateway(t, 0, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		echoing(&runs)(w, r)
	})
	var wait sync.WaitGroup
	for _, sent := range []int{1, 2, 30, len(next) - 1, len(next)} {
		for delay := time.Duration(0); delay < 250*time.Millisecond; delay += 25 * time.Millisecond {
			wait.Go(func() {
				c := gw.keep(t, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nContent-Length: 1\r\n\r\nx")
				time.Sleep(delay)
				_, _ = io.WriteString(c, next[:sent])
				if got := c.answer(2 * time.Second); got != http.StatusOK {
					t.Errorf("%d bytes after %v: status %d", sent, delay, got)
				}
				_, _ = io.WriteString(c, next[sent:])
				if got := c.answer(2 * time.Second); got != http.StatusOK {
					t.Errorf("next request, %d bytes after %v: status %d", sent, delay, got)
				}
			})
		}
	}
	wait.Wait()
}

// TestHalfClosedCaller guards against a caller that closes only its sending direction and gets no
// answer. It counts as one that has left, so its request ends at the replica.
func TestHalfClosedCaller(t *testing.T) {
	for _, path := range []string{"/safe/1", "/unsafe/1", "/draft/1", "/chat/1"} {
		for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
			t.Run(fmt.Sprint(path, delay), func(t *testing.T) {
				is := is.New(t)
				gw := newTestGateway(t, 0, blocking)
				c := gw.keep(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nContent-Length: 1\r\n\r\nx")
				time.Sleep(delay)
				is.NoErr(c.Conn.(*net.TCPConn).CloseWrite())
				is.True(c.answer(time.Second) >= http.StatusInternalServerError)
				gw.waitIdle(t)
			})
		}
	}
}
