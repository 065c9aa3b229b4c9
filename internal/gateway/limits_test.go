package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxFlood ends the floods of the tests, in bytes.
const maxFlood = 64 << 20

// flooding returns an upstream that streams the same bytes until its connection is closed, and
// stores how many it has sent.
func flooding(repeated string, sent *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		signed(w, r)
		block := []byte(strings.Repeat(repeated, 4096/len(repeated)))
		for sent.Load() < maxFlood {
			n, err := w.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// TestEventWithoutEnd guards against an event that never ends and fills the memory.
func TestEventWithoutEnd(t *testing.T) {
	is := is.New(t)
	for _, path := range []string{"/draft/1", "/chat/1", "/resumable/1"} {
		var sent atomic.Int64
		start := time.Now()
		gw := newTestGateway(t, 0, flooding("data: x\n", &sent))
		reply := gw.call(t, "POST", path, "x", "Id", "t", "Key", "k", "Program", "p", "Budget", "100")
		is.Equal(reply.status, http.StatusBadGateway)
		is.True(sent.Load() < maxFlood)
		is.True(time.Since(start) < time.Second)
	}
}

// TestStreamBeyondReservation guards against a replica that generates more tokens than the
// turn has reserved of the program's budget.
func TestStreamBeyondReservation(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	gw := newTestGateway(t, 0, flooding("data: x\n\n", &sent))
	reply := gw.call(t, "POST", "/draft/1", "x", "Id", "t", "Key", "k", "Program", "p", "Budget", "100")
	is.True(!reply.complete || reply.status == http.StatusBadGateway) // nothing was sent before
	is.True(strings.Count(reply.body, "data:") <= 10)
	is.True(sent.Load() < maxFlood)
}

// TestSlowStreamIsSound guards against cutting a stream whose events come slowly.
func TestSlowStreamIsSound(t *testing.T) {
	is := is.New(t)
	gw := newTestGateway(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		signed(w, r)
		for n := range 3 {
			time.Sleep(500 * time.Millisecond)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
			w.(http.Flusher).Flush()
		}
	})
	for _, path := range []string{"/draft/1", "/chat/1", "/resumable/1"} {
		is.True(gw.call(t, "POST", path, "x", "Id", "t"+path, "Key", "k", "Program", "p", "Budget", "100").complete)
	}
}

// TestDrippingStreamEnds guards against a stream that sends a byte now and then, never
// completes an event, and never ends.
func TestDrippingStreamEnds(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	gw := newTestGateway(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		signed(w, r)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "x")
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		close(ended)
	})
	start := time.Now()
	is.Equal(gw.call(t, "POST", "/draft/1", "x", "Id", "t", "Key", "k", "Patience", "300").status, http.StatusGatewayTimeout)
	is.True(time.Since(start) < time.Second)
	<-ended
}

// dialRaw sends bytes to the gateway over a connection of its own.
func (gw *testGateway) dialRaw(t *testing.T, data string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(gw.entry.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, data); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestDrippingBodyIsRefused guards against a caller that holds a request for as long as it
// sends a byte of the body now and then.
func TestDrippingBodyIsRefused(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	c := gw.dialRaw(t, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nPatience: 300\r\nContent-Length: 500\r\n\r\n")
	go func() {
		for {
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	start := time.Now()
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusRequestTimeout)
	is.True(time.Since(start) < time.Second)
	is.Equal(runs.Load(), int64(0))
}

// waitIdle waits until no request and no settlement is in progress.
func (gw *testGateway) waitIdle(t *testing.T) {
	t.Helper()
	const limit = 2 * time.Second
	for start := time.Now(); gw.gateway.Active() != 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > limit {
			t.Fatalf("%d requests or settlements are still in progress after %v", gw.gateway.Active(), limit)
		}
	}
}

// TestCallerThatStopsReading guards against a caller that does not read its answer and thereby
// holds a replica and memory.
func TestCallerThatStopsReading(t *testing.T) {
	ended := make(chan struct{})
	gw := newTestGateway(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		signed(w, r)
		event := "data: " + strings.Repeat("x", 4000) + "\n\n"
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, event); err != nil {
				break
			}
		}
		close(ended)
	})
	gw.dialRaw(t, "POST /draft/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nPatience: 300\r\nContent-Length: 1\r\n\r\nx")
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the replica still works for a caller that does not read")
	}
	// The handler must end as well.
	gw.waitIdle(t)
}

// TestDeadlineBeforeAttempt guards against a request without an answer because too little time
// was left to send it to a replica.
func TestDeadlineBeforeAttempt(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	for _, path := range []string{"/safe/1", "/unsafe/1", "/draft/1", "/chat/1"} {
		// The body arrives when 4 of 50 ms are left.
		c := gw.dialRaw(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nPatience: 50\r\nContent-Length: 1\r\n\r\n")
		time.Sleep(46 * time.Millisecond)
		_, err := io.WriteString(c, "x")
		is.NoErr(err)
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
	}
	gw.waitIdle(t)
}
