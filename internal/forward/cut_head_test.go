package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestAnswerCutInItsHead guards against an answer with an empty or short body that looks whole
// because the replica closed the connection in the middle of the head, wherever that is.
func TestAnswerCutInItsHead(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nSigned: 1\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nSigned: 1\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200 OK\nId: a\nContent-Length: 12\n\n",
	}
	for _, head := range heads {
		for cut := range len(head) {
			addr, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, head[:cut])
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			answer, err := NewPool().Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Addr: addr},
				func(int, http.Header) bool { return true })
			cancel()
			if err == nil {
				t.Fatalf("answer with status %d after %q", answer.Status, head[:cut])
			}
		}
	}
}
