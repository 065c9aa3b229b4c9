package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// rawReplica reads one request on each connection, writes the same bytes and closes.
func rawReplica(t *testing.T, answer string) *httptest.Server {
	t.Helper()
	return serveRaw(t, func(c net.Conn) {
		defer c.Close()
		if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(c, answer)
		}
	})
}

// TestAnswerCutBeforeItsBody guards against an answer that looks whole although the replica ended
// in its head or before the first event of its stream.
func TestAnswerCutBeforeItsBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: a\r\n"
	answers := map[string]bool{ // whether the caller gets a whole answer
		head:                                    false,
		head + "Connection: close\r\n\r\n":      false,
		head + "Connection: close\r\n\r\nid: 1": false,
		head + "Content-Length: 20\r\n\r\n":     false,
		head + "Connection: close\r\n\r\nid: 1\ndata: x\n\nid": false,
		head + "Connection: close\r\n\r\nid: 1\ndata: x\n\n":   true,
	}
	for answer, whole := range answers {
		for _, relayed := range []bool{false, true} {
			is := is.New(t)
			fleet := newTestFleet(t, 2)
			server := rawReplica(t, answer)
			for _, gw := range fleet {
				gw.addReplica("r", server)
			}
			if relayed {
				fleet[0].links.set(refusingCut)
			}
			reply := fleet[0].call(t, "POST", "/draft/1", "x", "Id", "a", "Key", "k")
			is.Equal(reply.status == http.StatusOK && reply.complete, whole)
		}
	}
}
