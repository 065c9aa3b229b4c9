package forward

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is what is sent to a replica.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body parts are sent one after the other as one body.
	Body [][]byte
	// HasBody says that a length is sent even if the body is empty.
	HasBody bool
	// Addr and Instance name the replica.
	Addr     string
	Instance string
}

// size returns the length of the body.
func (r *Request) size() int {
	size := 0
	for _, part := range r.Body {
		size += len(part)
	}
	return size
}

// head returns the request line and the headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	if r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(r.size()))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
