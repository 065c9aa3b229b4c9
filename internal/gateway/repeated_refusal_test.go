package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/httpanswer/answertest"
)

// repeatingReplica is a replica that refuses the first request on each connection, and writes that
// refusal once more before its answer to each of the following ones, which it runs.
type repeatingReplica struct {
	identified bool
	status     int
	runs       atomic.Int64
}

// serve answers the requests on one connection.
func (r *repeatingReplica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Id")
		if refusal == "" {
			refusal = fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Length: 0\r\nNot-Run: 1\r\n", r.status)
			if r.identified {
				refusal += "Id: " + id + "\r\n"
			}
			refusal += "\r\n"
			_, _ = io.WriteString(c, refusal)
			continue
		}
		_, _ = io.WriteString(c, refusal)
		r.runs.Add(1)
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSigned: 1\r\nId: %s\r\n\r\nok", id)
	}
}

// serveRaw passes each connection to serve. It returns a server that stands for the address.
func serveRaw(t *testing.T, serve func(net.Conn)) *httptest.Server {
	t.Helper()
	return &httptest.Server{URL: "http://" + answertest.Listen(t, serve)}
}

// TestRepeatedRefusal guards against a replica that writes an earlier refusal once more on a kept
// connection: the caller would be told that a request has not run which runs, or it would run at
// a second replica. The refusals may lack a request ID, and another host may pass the requests on.
func TestRepeatedRefusal(t *testing.T) {
	for _, identified := range []bool{false, true} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
			for _, relayed := range []bool{false, true} {
				is := is.New(t)
				fleet := newTestFleet(t, 2)
				r := &repeatingReplica{identified: identified, status: status}
				server := serveRaw(t, r.serve)
				for _, gw := range fleet {
					gw.addReplica("r", server)
				}
				if relayed {
					fleet[0].links.set(refusingCut)
				}
				for n := range 6 {
					before := r.runs.Load()
					reply := fleet[0].call(t, "POST", "/unsafe/1", "x", "Id", "a"+strconv.Itoa(n), "Key", "k")
					ran := r.runs.Load() - before
					is.True(ran <= 1)
					if reply.status == http.StatusServiceUnavailable {
						is.Equal(ran, int64(0))
					}
				}
			}
		}
	}
}
