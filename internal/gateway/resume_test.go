package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// wholeStream is the stream of three events that resumableEngine generates.
const wholeStream = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n"

// resumableEngine is an upstream whose streams can be resumed. Its first run breaks off after
// a number of bytes.
type resumableEngine struct {
	breakAfter int
	// ignoresPosition is set if a resumed stream starts at the first event again.
	ignoresPosition bool

	mu sync.Mutex
	// after holds the last event ID of each run, and done the number of runs that ended.
	after []string
	done  int
}

func (e *resumableEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	after := r.Header.Get("Last-Event-Id")
	e.mu.Lock()
	first := len(e.after) == 0
	e.after = append(e.after, after)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.done++
		e.mu.Unlock()
	}()
	signed(w, r)
	w.Header().Set("Run", after)
	rest := wholeStream
	if _, remaining, found := strings.Cut(wholeStream, "id: "+after+"\n"); after != "" && found && !e.ignoresPosition {
		_, rest, _ = strings.Cut(remaining, "\n\n")
	}
	if first && e.breakAfter >= 0 {
		rest = rest[:e.breakAfter]
	}
	_, _ = io.WriteString(w, rest)
	w.(http.Flusher).Flush()
	if first && e.breakAfter >= 0 {
		panic(http.ErrAbortHandler)
	}
}

func (e *resumableEngine) runs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.after...)
}

// TestStreamIsResumed guards against losing, repeating or splitting an event of a resumable
// stream when the connection to the replica breaks at any byte, and against a resumed stream
// with another head.
func TestStreamIsResumed(t *testing.T) {
	is := is.New(t)
	for n := range len(wholeStream) + 1 {
		e := &resumableEngine{breakAfter: n}
		gw := newTestGateway(t, 0, e.ServeHTTP)
		reply := gw.call(t, "POST", "/resumable/1", "x", "Id", "t", "Key", "k", "Program", "p", "Budget", "100")
		is.True(reply.complete)
		is.Equal(reply.body, wholeStream)
		is.Equal(reply.header.Get("Run"), "")
		is.Equal(e.runs(), []string{"", []string{"", "1", "2", "3"}[strings.Count(wholeStream[:n], "\n\n")]})
	}
}

// TestRepeatedEventsAreDropped guards against events that reach the caller twice because the
// resumed stream starts over.
func TestRepeatedEventsAreDropped(t *testing.T) {
	is := is.New(t)
	e := &resumableEngine{breakAfter: len(wholeStream) - 5, ignoresPosition: true}
	gw := newTestGateway(t, 0, e.ServeHTTP)
	reply := gw.call(t, "POST", "/resumable/1", "x", "Id", "t", "Key", "k", "Program", "p", "Budget", "100")
	is.True(reply.complete)
	is.Equal(reply.body, wholeStream)
}

// TestStreamIsResumedElsewhere guards against failing a resumable stream whose replica has
// ended, while a replica that still runs must not be left for another one.
func TestStreamIsResumedElsewhere(t *testing.T) {
	is := is.New(t)
	broken := &resumableEngine{breakAfter: 20}
	other := &resumableEngine{breakAfter: -1}
	var gw *testGateway
	gw = newTestGateway(t, 0, func(w http.ResponseWriter, r *http.Request) {
		gw.upstreams[0].Listener.Close() // accepts no further connections
		broken.ServeHTTP(w, r)
	})
	gw.addUpstream(t, "later", other.ServeHTTP)
	reply := response{}
	for n := 0; len(broken.runs()) == 0; n++ {
		reply = gw.call(t, "POST", "/resumable/1", "x", "Id", "t"+strconv.Itoa(n), "Key", "k")
	}
	is.True(reply.complete)
	is.Equal(reply.body, wholeStream)
	is.Equal(broken.runs(), []string{""})
	is.Equal(other.runs()[len(other.runs())-1], "1")
}

// TestOtherStreamsAreNotResumed guards against running a stream twice on a route that does not
// allow it.
func TestOtherStreamsAreNotResumed(t *testing.T) {
	is := is.New(t)
	e := &resumableEngine{breakAfter: 20}
	gw := newTestGateway(t, 0, e.ServeHTTP)
	is.True(!gw.call(t, "POST", "/draft/1", "x", "Id", "t", "Key", "k", "Program", "p", "Budget", "100").complete)
	is.Equal(e.runs(), []string{""})
}

// TestBrokenStreamOfAbsentCaller guards against resuming a stream whose caller has left.
func TestBrokenStreamOfAbsentCaller(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	e := &resumableEngine{breakAfter: 20}
	gw := newTestGateway(t, 0, func(w http.ResponseWriter, r *http.Request) {
		<-left
		e.ServeHTTP(w, r)
	})
	gw.call(t, "POST", "/resumable/1", "x", "Id", "t", "Key", "k", "Patience", "100")
	close(left)
	time.Sleep(50 * time.Millisecond)
	is.True(len(e.runs()) <= 1)
}

// TestBudgetOfResumedStream guards against counting the events of a resumed stream twice, or
// only those of its last run.
func TestBudgetOfResumedStream(t *testing.T) {
	is := is.New(t)
	e := &resumableEngine{breakAfter: 20}
	gw := newTestGateway(t, 0, e.ServeHTTP)
	answered := 0
	for n := range 20 {
		if gw.call(t, "POST", "/resumable/1", "x", "Id", "t"+strconv.Itoa(n), "Key", "k", "Program", "p", "Budget", "30").status == http.StatusOK {
			answered++
		}
	}
	is.Equal(answered, 7) // 21 tokens; the next turn could generate 10 more
}
