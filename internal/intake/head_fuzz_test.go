package intake

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipgw/internal/event"
)

// scripted is a connection that returns given bytes in parts of a given size, then io.EOF.
type scripted struct {
	data    []byte
	part    int
	written bytes.Buffer
	closed  bool
}

func (s *scripted) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.data[:min(s.part, len(s.data))])
	s.data = s.data[n:]
	return n, nil
}

func (s *scripted) Write(p []byte) (int, error)      { return s.written.Write(p) }
func (s *scripted) Close() error                     { s.closed = true; return nil }
func (s *scripted) CloseWrite() error                { return nil }
func (*scripted) LocalAddr() net.Addr                { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
func (*scripted) RemoteAddr() net.Addr               { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 2} }
func (*scripted) SetDeadline(time.Time) error        { return nil }
func (*scripted) SetReadDeadline(time.Time) error    { return nil }
func (*scripted) SetWriteDeadline(t time.Time) error { return nil }

// newScripted returns a connection to a listener of its own that receives data.
func newScripted(data []byte, part int, memoryBytes int64, limits Limits) (*Conn, *scripted) {
	tcp := &scripted{data: data, part: part}
	listener := New(memoryBytes, event.Discard()).Listen(nil, Options{Name: "test", Limits: func() Limits { return limits }})
	return listener.add(tcp), tcp
}

// message is a request as it was read.
type message struct {
	method, uri, body string
	lines             int
}

// readPlain returns the requests that net/http reads from data, up to the first error.
func readPlain(data []byte) []message {
	var messages []message
	for reader := bufio.NewReader(bytes.NewReader(data)); ; {
		m, ok := readMessage(reader)
		if !ok {
			return messages
		}
		messages = append(messages, m)
	}
}

// readMessage reads a request with its body.
func readMessage(reader *bufio.Reader) (message, bool) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return message{}, false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return message{}, false
	}
	return message{r.Method, r.RequestURI, string(body), len(r.Header)}, true
}

// readLimited returns the requests that net/http reads from a Conn that receives data in parts. Each
// must end where the Conn takes it to end.
func readLimited(t *testing.T, data []byte, part int) []message {
	t.Helper()
	c, _ := newScripted(data, part, 1<<20, Limits{})
	var messages []message
	for {
		// Each request has a reader of its own, so that bytes which belong to no request are noticed.
		reader := bufio.NewReader(c)
		m, ok := readMessage(reader)
		if !ok {
			return messages
		}
		if !c.body.ended() || reader.Buffered() > 0 || c.ready > 0 {
			t.Fatalf("net/http reads %+v from %q, which ends elsewhere", m, data)
		}
		messages = append(messages, m)
		c.requestDone()
	}
}

// FuzzHeads guards against requests that the head reader and net/http delimit in different ways, which
// would let a caller smuggle a head past the limits: what the head reader accepts, net/http reads alike.
func FuzzHeads(f *testing.F) {
	seeds := []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /2 HTTP/1.1\nHost: h\n\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\nGET /2 HTTP/1.0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na",
		"POST / HTTP/1.1\r\nContent-Length:\r\n 1\r\n\r\na",
		"POST / HTTP/1.1\r\nA: b\r\n Content-Length: 1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\na",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: \vchunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nA: b\r\n\t\r\nContent-Length: 2\r\n\r\r\n\r\nab",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1 \nx\r\n0\r\n\n",
		"\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nnocolon\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	}
	for _, seed := range seeds {
		f.Add([]byte(seed), uint8(200))
		f.Add([]byte(seed), uint8(1))
	}
	f.Fuzz(func(t *testing.T, data []byte, part uint8) {
		got := readLimited(t, data, int(part)+1)
		// The head reader skips empty lines between requests, so net/http gets the rest by itself.
		rest, plain := data, []message(nil)
		for len(rest) > 0 && len(plain) < len(got) {
			rest = bytes.TrimLeft(rest, "\r\n")
			one := readPlain(rest)
			if len(one) == 0 {
				break
			}
			plain = append(plain, one...)
			rest = rest[consumed(rest, len(one)):]
		}
		if len(got) > len(plain) {
			t.Fatalf("%d requests were read from %q, and %d without the head reader", len(got), data, len(plain))
		}
		for n := range got {
			if got[n] != plain[n] {
				t.Fatalf("request %d of %q: %+v, and %+v without the head reader", n, data, got[n], plain[n])
			}
		}
	})
}

// consumed returns how many bytes the first n requests of data take.
func consumed(data []byte, n int) int {
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	for range n {
		_, _ = readMessage(reader)
	}
	return len(data) - source.Len() - reader.Buffered()
}

// TestHeadsAreHeldBack guards against a head that reaches net/http before it is complete.
func TestHeadsAreHeldBack(t *testing.T) {
	c, _ := newScripted([]byte("GET / HTTP/1.1\r\nA: "+strings.Repeat("x", 3000)+"\r\n"), 100, 1<<20, Limits{})
	n, err := c.Read(make([]byte, 4096))
	if n != 0 || err != io.EOF {
		t.Fatalf("%d bytes, error %v", n, err)
	}
}
