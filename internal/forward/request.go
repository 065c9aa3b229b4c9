package forward

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is a request to a replica.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body holds the parts of the body, which are sent in order.
	Body [][]byte
	// HasBody is set if a Content-Length is sent, even for an empty body.
	HasBody bool
	// ID names the request in logs.
	ID string
	// Repeatable is set if the request may be sent again after its connection broke.
	Repeatable bool
	// Addr and Instance identify the replica.
	Addr     string
	Instance string
	// MaySend is called right before the first byte is written. If it returns an error, nothing is
	// sent. It is nil if nothing is to be checked.
	MaySend func() error
}

// checkSend calls MaySend.
func (r *Request) checkSend() error {
	if r.MaySend == nil {
		return nil
	}
	return r.MaySend()
}

// bodySize returns the total length of the body.
func (r *Request) bodySize() int {
	size := 0
	for _, part := range r.Body {
		size += len(part)
	}
	return size
}

// head returns the encoded request line and headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writes to a bytes.Buffer never fail.
	_ = r.Header.Write(&b)
	if r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(r.bodySize()))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
