package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploadLimit is the size of the largest body of a request in these tests.
const uploadLimit = 16 << 20

// rawFleet returns two hosts with one replica whose connections serve handles.
func rawFleet(t *testing.T, serve func(net.Conn)) []*testGateway {
	t.Helper()
	server := serveRaw(t, serve)
	fleet := newTestFleet(t, 2)
	for _, gw := range fleet {
		gw.source.table.Limits.BodyBytes = uploadLimit
		gw.addReplica("r", server)
	}
	return fleet
}

// readHead reads the head of a request, byte by byte, so that none of the body is read.
func readHead(c net.Conn) bool {
	var head []byte
	var one [1]byte
	for !strings.HasSuffix(string(head), "\r\n\r\n") {
		if _, err := io.ReadFull(c, one[:]); err != nil {
			return false
		}
		head = append(head, one[0])
	}
	return true
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// TestAnswerResetDuringUpload guards against a part of an answer that looks whole: the replica answers
// without a length and resets the connection while the request is still written to it.
func TestAnswerResetDuringUpload(t *testing.T) {
	const rounds = 3
	for _, c := range []struct {
		name, head string
		size       int
		pause      time.Duration
	}{
		{"success", "HTTP/1.1 200 OK\r\n", 3_000_000, 0},
		{"success after a pause", "HTTP/1.1 200 OK\r\n", 3_000_000, 2 * time.Millisecond},
		{"failure", "HTTP/1.1 404 Not Found\r\n", 3_000_000, 0},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n", 3_000_000, 0},
		{"medium body", "HTTP/1.1 200 OK\r\n", 400_000, 0},
		{"short body", "HTTP/1.1 200 OK\r\n", 60_000, 0},
	} {
		fleet := rawFleet(t, func(conn net.Conn) {
			if readHead(conn) {
				_, _ = io.WriteString(conn, c.head+"Signed: 1\r\nId: a\r\n\r\nid: 1\ndata: x\n\n")
				time.Sleep(c.pause)
			}
			resetConn(conn)
		})
		body := strings.Repeat("x", c.size)
		for _, relayed := range []bool{false, true} {
			if relayed {
				fleet[0].links.set(refusingCut)
			}
			for _, path := range []string{"/unsafe/1", "/safe/1", "/draft/1", "/resumable/1", "/chat/1"} {
				for range rounds {
					reply := fleet[0].call(t, "POST", path, body, "Id", "a", "Key", "k")
					if reply.complete && reply.header.Get("Signed") != "" {
						t.Errorf("%s, relayed %v, %s: a part arrives as a whole answer: %d %q", c.name, relayed, path, reply.status, reply.body)
					}
				}
			}
		}
	}
}

// TestEarlyAnswerIsWhole guards against losing an answer that ends before the replica has read the request:
// its end is certain unless the connection broke.
func TestEarlyAnswerIsWhole(t *testing.T) {
	const signedHead = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: a\r\n"
	const withoutLength = signedHead + "\r\nid: 1\ndata: x\n\n"
	body := strings.Repeat("x", 12<<20) // more than the kernel buffers
	readAll := func(c net.Conn) { _, _ = io.CopyN(io.Discard, c, int64(len(body))) }
	for name, serve := range map[string]func(net.Conn){
		"length": func(c net.Conn) {
			_, _ = io.WriteString(c, signedHead+"Content-Length: 15\r\n\r\nid: 1\ndata: x\n\n")
			time.Sleep(20 * time.Millisecond)
			readAll(c)
		},
		"length, reset": func(c net.Conn) {
			_, _ = io.WriteString(c, signedHead+"Content-Length: 15\r\n\r\nid: 1\ndata: x\n\n")
			time.Sleep(100 * time.Millisecond)
			resetConn(c)
		},
		"chunks, reset": func(c net.Conn) {
			_, _ = io.WriteString(c, signedHead+"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n")
			time.Sleep(100 * time.Millisecond)
			resetConn(c)
		},
		"no length, closed after the request": func(c net.Conn) {
			_, _ = io.WriteString(c, withoutLength)
			readAll(c)
		},
		"no length, half-closed before the request": func(c net.Conn) {
			_, _ = io.WriteString(c, withoutLength)
			_ = c.(*net.TCPConn).CloseWrite()
			readAll(c)
		},
		"no length, half-closed, request never read": func(c net.Conn) {
			_, _ = io.WriteString(c, withoutLength)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(1500 * time.Millisecond)
		},
	} {
		for _, path := range []string{"/unsafe/1", "/draft/1"} {
			fleet := rawFleet(t, func(c net.Conn) {
				defer c.Close()
				if readHead(c) {
					serve(c)
				}
			})
			reply := fleet[0].call(t, "POST", path, body, "Id", "a", "Key", "k")
			if !reply.complete || reply.status != http.StatusOK || reply.body != "id: 1\ndata: x\n\n" {
				t.Errorf("%s, %s: status %d, complete %v, %q", name, path, reply.status, reply.complete, reply.body)
			}
		}
	}
}

// TestCutRefusalIsNone guards against a claim that a request has not run which rests on a part of an answer: what was
// cut may have said otherwise, and the request must not run at another replica or be refused as not run.
func TestCutRefusalIsNone(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: a\r\n"
	for name, c := range map[string]struct {
		answer string
		size   int
	}{
		"no length, reset during the upload": {head + "\r\nbu", 3_000_000},
		"length":                             {head + "Content-Length: 4\r\n\r\nbu", 1},
		"length, long":                       {head + "Content-Length: 9000\r\n\r\n" + strings.Repeat("x", 8000), 1},
		"chunks":                             {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbu\r\n", 1},
		"misdirected":                        {"HTTP/1.1 421 Misdirected Request\r\nId: a\r\nContent-Length: 4\r\n\r\nbu", 1},
	} {
		for _, relayed := range []bool{false, true} {
			fleet := rawFleet(t, func(conn net.Conn) {
				if readHead(conn) {
					_, _ = io.CopyN(io.Discard, conn, min(int64(c.size), 1000))
					_, _ = io.WriteString(conn, c.answer)
				}
				time.Sleep(5 * time.Millisecond)
				resetConn(conn)
			})
			if relayed {
				fleet[0].links.set(refusingCut)
			}
			reply := fleet[0].call(t, "POST", "/unsafe/1", strings.Repeat("x", c.size), "Id", "a", "Key", "k")
			if reply.status != http.StatusBadGateway {
				t.Errorf("%s, relayed %v: status %d, %q", name, relayed, reply.status, reply.body)
			}
		}
	}
}

// TestBrokenAnswersOfHosts guards against an answer of another host that is broken: a request which that host may have
// sent must not be refused as not run, and no part of an answer may be passed on.
func TestBrokenAnswersOfHosts(t *testing.T) {
	const ok = "Signed: 1\r\nId: a\r\nRelay-Outcome: answered\r\n"
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n" + ok + "Content-Length: 4\r\n\r\nbu",
		"HTTP/1.1 200 OK\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nbu\r\n",
		"HTTP/1.1 000 X\r\n" + ok + "Content-Length: 2\r\n\r\nbu",
		"HTTP/1.1 200 OK\r\nA b: 1\r\n" + ok + "Content-Length: 2\r\n\r\nbu",
		"HTTP/1.1 200 OK\r\n" + ok + "Content-Length : 2\r\n\r\nbu",
		"HTTP/1.1 502 Bad Gateway\r\nRelay-Outcome: declined\r\nContent-Length: 4\r\n\r\nbu",
		"HTTP/1.1 502 Bad Gateway\r\nRelay-Outcome: unreachable\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 999 X\r\nRelay-Outcome: declined\r\nContent-Length: 0\r\n\r\n",
	} {
		fleet := rawFleet(t, func(net.Conn) {})
		host := serveRaw(t, func(conn net.Conn) {
			defer conn.Close()
			if readHead(conn) {
				_, _ = io.CopyN(io.Discard, conn, 1)
				_, _ = io.WriteString(conn, answer)
			}
		})
		fleet[0].fleet.hosts[1].Relay = strings.TrimPrefix(host.URL, "http://")
		fleet[0].links.set(refusingCut)
		reply := fleet[0].call(t, "POST", "/unsafe/1", "x", "Id", "a", "Key", "k")
		if reply.status != http.StatusBadGateway {
			t.Errorf("%q: status %d, %q", answer, reply.status, reply.body)
		}
	}
}
