package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/httpanswer/answertest"
)

// serveRaw accepts connections and passes each to serve. It returns the listener's address
// and the number of connections.
func serveRaw(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) (string, *atomic.Int64) {
	t.Helper()
	var count atomic.Int64
	addr := answertest.Listen(t, func(c net.Conn) {
		count.Add(1)
		defer c.Close()
		serve(c, bufio.NewReader(c))
	})
	return addr, &count
}

// reply returns an encoded answer to the request with the given ID.
func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// answerAll answers each request on a connection with the bytes that respond returns.
func answerAll(respond func(id string) string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, respond(request.Header.Get("Id"))); err != nil {
				return
			}
		}
	}
}

// send sends a request with the given ID and returns the body of the answer.
func send(t *testing.T, p *Pool, addr, id string, body ...[]byte) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r := &Request{Method: "POST", URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: body, HasBody: true, Addr: addr}
	a, err := p.Send(ctx, r, func(_ int, h http.Header) bool { return h.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer a.Close()
	content, err := io.ReadAll(a)
	return string(content), err
}

// TestConnectionIsKept guards against a new connection for each request.
func TestConnectionIsKept(t *testing.T) {
	is := is.New(t)
	addr, count := serveRaw(t, answerAll(func(id string) string { return reply(id, "for "+id) }))
	p := NewPool()
	for _, id := range []string{"a", "b", "c"} {
		got, err := send(t, p, addr, id)
		is.NoErr(err)
		is.Equal(got, "for "+id)
	}
	is.Equal(count.Load(), int64(1))
}

// TestCrashFailsNoIdleConnections guards against further failures after a replica has
// crashed with idle connections open: once one request has failed, no other may be sent
// on the remaining dead connections.
func TestCrashFailsNoIdleConnections(t *testing.T) {
	is := is.New(t)
	var crashed atomic.Bool
	arrived := make(chan struct{}, 2)
	addr, count := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		old := !crashed.Load()
		for {
			request, err := http.ReadRequest(r)
			if err != nil || (old && crashed.Load()) {
				return
			}
			if old {
				arrived <- struct{}{}
				for len(arrived) < 2 {
					time.Sleep(time.Millisecond)
				}
			}
			if _, err := io.WriteString(c, reply(request.Header.Get("Id"), "x")); err != nil {
				return
			}
		}
	})
	p := NewPool()
	other := make(chan error, 1)
	go func() {
		_, err := send(t, p, addr, "a")
		other <- err
	}()
	_, err := send(t, p, addr, "b")
	is.NoErr(err)
	is.NoErr(<-other)
	is.Equal(count.Load(), int64(2))
	crashed.Store(true)
	_, err = send(t, p, addr, "c")
	is.True(errors.Is(err, ErrBroken))
	_, err = send(t, p, addr, "d")
	is.NoErr(err)
}

// TestExtraAnswers guards against matching the answer to an earlier request to the next
// one, whether it arrives immediately or late.
func TestExtraAnswers(t *testing.T) {
	is := is.New(t)
	addr, _ := serveRaw(t, answerAll(func(id string) string { return reply(id, "first") + reply(id, "extra") }))
	p := NewPool()
	for _, id := range []string{"a", "b"} {
		got, err := send(t, p, addr, id)
		is.NoErr(err)
		is.Equal(got, "first")
	}
	late, _ := serveRaw(t, answerAll(func(id string) string {
		if id == "b" {
			return reply("a", "late answer to a") + reply(id, "for b")
		}
		return reply(id, "for a")
	}))
	for _, id := range []string{"a", "b"} {
		got, err := send(t, p, late, id)
		is.NoErr(err)
		is.Equal(got, "for "+id)
	}
}

// TestBrokenAnswers guards against accepting an incomplete answer, and against an error
// which claims that the request was not sent although it may have run.
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"cut in the body": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc",
		"cut in a chunk":  "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"cut in the head": "HTTP/1.1 200 OK\r\nId: a\r\nConte",
		"no answer":       "",
		"other bytes":     "bytes that are no answer\r\n\r\n",
	} {
		addr, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
			if request, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(c, answer)
			}
		})
		got, err := send(t, NewPool(), addr, "a")
		if err == nil {
			t.Errorf("%s: incomplete answer was accepted: %q", name, got)
		}
		if errors.Is(err, ErrUnreachable) {
			t.Errorf("%s: error claims that the request was not sent", name)
		}
	}
}

// TestUnreachable guards against an error which claims that a request may have been sent
// although no connection was opened.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = send(t, NewPool(), addr, "a")
	is.True(errors.Is(err, ErrUnreachable))
}

// TestEarlyAnswer guards against sending the next request on a connection while a long
// body is still being written: a replica that answers before it has read the body would
// read the next request as a part of it.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	foreign := make(chan string, 4)
	addr, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, reply(request.Header.Get("Id"), "early"))
		time.Sleep(100 * time.Millisecond)
		body, _ := io.ReadAll(request.Body)
		if strings.Trim(string(body), "x") != "" {
			foreign <- "body contains bytes of another request"
		}
		answerAll(func(id string) string { return reply(id, "second") })(c, r)
	})
	p := NewPool()
	long := []byte(strings.Repeat("x", 8<<20))
	got, err := send(t, p, addr, "a", long)
	is.NoErr(err)
	is.Equal(got, "early")
	_, err = send(t, p, addr, "b")
	is.NoErr(err)
	select {
	case what := <-foreign:
		t.Fatal(what)
	case <-time.After(300 * time.Millisecond):
	}
}

// TestClosedIdleConnection guards against sending a request on an idle connection that the
// replica has closed, which leaves unknown whether the request has run.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	addr, count := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if request, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, reply(request.Header.Get("Id"), "x"))
		}
	})
	p := NewPool()
	for _, id := range []string{"a", "b", "c"} {
		_, err := send(t, p, addr, id)
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(count.Load(), int64(3))
}

// TestCancelClosesConnection guards against a replica that keeps working for a caller that
// has disconnected.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr, _ := serveRaw(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = r.ReadByte()
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := NewPool().Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Addr: addr},
		func(int, http.Header) bool { return true })
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("connection is still open after the context was cancelled")
	}
}
