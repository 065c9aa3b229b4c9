package intake

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

// TestLargeCostsLeaveRoom guards against expensive heads that use all memory, and against a bound
// that refuses a single one when nothing else is held.
func TestLargeCostsLeaveRoom(t *testing.T) {
	is := is.New(t)
	m := NewMemory(8 * ordinaryBytes)
	is.True(m.Resize(0, 100*ordinaryBytes)) // alone
	is.True(!m.Resize(0, 2*ordinaryBytes))
	is.True(!m.Resize(0, 1)) // full
	is.True(m.Resize(100*ordinaryBytes, 0))
	is.True(m.Resize(0, 2*ordinaryBytes))
	is.True(m.Resize(0, 2*ordinaryBytes))
	is.True(!m.Resize(0, 2*ordinaryBytes)) // half is for ordinary heads
	for range 4 {
		is.True(m.Resize(0, ordinaryBytes))
	}
	is.True(!m.Resize(0, ordinaryBytes))
	is.Equal(m.Used(), int64(8*ordinaryBytes))
}

// refusalOf returns the status line with which a head is refused.
func refusalOf(t *testing.T, head string, memoryBytes int64, limits Limits) string {
	t.Helper()
	c, tcp := newScripted([]byte(head), 1000, memoryBytes, limits)
	n, err := c.Read(make([]byte, 4096))
	if n > 0 {
		return "passed on"
	}
	is.New(t).Equal(err, errLimit)
	is.New(t).NoErr(c.closeNow())
	is.New(t).Equal(c.listener.memory.Used(), int64(0)) // nothing is left behind
	line, _, _ := strings.Cut(tcp.written.String(), "\r\n")
	return line
}

// TestRefusals guards against heads that reach net/http although they exceed a limit, and against
// statuses that promise something else.
func TestRefusals(t *testing.T) {
	limits := Limits{HeaderBytes: 8000}
	for head, want := range map[string]string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n":                                                              "passed on",
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 9000):                                              "HTTP/1.1 431 Request Header Fields Too Large",
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 2600) + "\n":                                       "passed on",
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 9000):                                              "HTTP/1.1 431 Request Header Fields Too Large",
		strings.Repeat("\r\n", 9000):                                                                     "HTTP/1.1 400 Bad Request",
		"hello\r\n\r\n":                                                                                  "HTTP/1.1 400 Bad Request",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":                              "HTTP/1.1 400 Bad Request",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":                     "HTTP/1.1 400 Bad Request",
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n":                                             "HTTP/1.1 501 Not Implemented",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx":                             "passed on",
		"POST / HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: Chunked\r\n\r\n" + "1;a=b\r\nx\r": "passed on",
	} {
		if got := refusalOf(t, head, 1<<20, limits); got != want {
			t.Errorf("%.60q: %s, want %s", head, got, want)
		}
	}
}

// TestFullMemoryRefusesWith503 guards against an expensive head that is taken although others hold
// the memory.
func TestFullMemoryRefusesWith503(t *testing.T) {
	is := is.New(t)
	head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 2000) + "\n"
	c, tcp := newScripted([]byte(head), 9000, 1<<20, Limits{})
	is.True(c.listener.memory.Resize(0, 1<<19))
	_, err := c.Read(make([]byte, 9000))
	is.Equal(err, errLimit)
	is.True(strings.HasPrefix(tcp.written.String(), "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"))
}

// TestEvictionOrder guards against connections that are closed out of order: the longest idle first, then
// the one whose head is least advanced, never one with a request in progress.
func TestEvictionOrder(t *testing.T) {
	is := is.New(t)
	l := New(1<<20, event.Discard()).Listen(nil, Options{Name: "test", Connections: minConnections})
	add := func(data string) *Conn {
		c := l.add(&scripted{data: []byte(data), part: 4096})
		is.True(c != nil)
		return c
	}
	idle, later := add(""), add("")
	short, long := add("GET / HT"), add("GET / HTTP/1.1\r\n")
	busy := add("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for _, c := range []*Conn{short, long, busy} {
		_, _ = c.Read(make([]byte, 4096))
	}
	for _, want := range []*Conn{idle, later, short, long} {
		l.mu.Lock()
		is.True(l.evictLocked(""))
		l.mu.Unlock()
		is.True(want.evicted != "")
	}
	l.mu.Lock()
	is.True(!l.evictLocked(""))
	l.mu.Unlock()
	is.Equal(busy.evicted, cause(""))
	busy.requestDone()
	is.Equal(l.memory.Used(), int64(2*512)) // the buffers of two unfinished heads
}

// TestDefaults guards against limits of zero where a configuration names none.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	is.Equal(Limits{}.withDefaults(), Limits{64 << 10, 10 * time.Second, 5 * time.Minute})
	is.Equal(Limits{HeaderBytes: 1 << 30}.withDefaults().HeaderBytes, MaxHeaderBytes)
}
