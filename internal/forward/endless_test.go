package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxFlood ends the floods of the tests, in bytes.
const maxFlood = 16 << 20

// flooding returns a server that sends a prefix and then the same bytes until the connection
// is closed, and reports how many it has sent.
func flooding(prefix, repeated string, sent chan<- int) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		block := []byte(strings.Repeat(repeated, 4096/len(repeated)))
		total := 0
		_, err := c.Write([]byte(prefix))
		for err == nil && total < maxFlood {
			var n int
			n, err = c.Write(block)
			total += n
		}
		sent <- total
	}
}

// TestBytesWithoutEnd guards against bytes of a replica that are no answer and do not end: they
// must neither fill the memory nor hold the request until its deadline.
func TestBytesWithoutEnd(t *testing.T) {
	is := is.New(t)
	floods := map[string][2]string{
		"status line":          {"", "x"},
		"header line":          {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim answers":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"answer to another ID": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999\r\n\r\n", "x"},
		"chunks to another ID": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	}
	for name, flood := range floods {
		sent := make(chan int, 1)
		addr, _ := serveRaw(t, flooding(flood[0], flood[1], sent))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := NewPool().Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}, Addr: addr},
			func(_ int, h http.Header) bool { return h.Get("Id") == "a" })
		cancel()
		if err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Fatalf("%s: error %v after %v", name, err, ctx.Err())
		}
		is.True(<-sent < maxFlood)
	}
}

// TestManyShortHeaderLines guards against an answer whose head is legal in bytes and takes up many times
// that in memory, because it consists of short lines.
func TestManyShortHeaderLines(t *testing.T) {
	is := is.New(t)
	addr, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\n", 10_000) + "Content-Length: 0\r\n\r\n"))
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := NewPool().Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Addr: addr},
		func(int, http.Header) bool { return true })
	is.True(errors.Is(err, ErrInvalidAnswer))
}
