package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"cowslipgw/internal/httpanswer"
)

// Answer is a replica's response. The caller must call Close.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the replica did not send it.
	Length int64

	// response is the answer as net/http has parsed it. Its trailer is valid once the body was read.
	response *http.Response
	pool     *Pool
	target   target
	conn     *conn
	// written receives the result of writing the request.
	written <-chan error
	// stopWatch stops the watch that closes conn when the request's context is done.
	stopWatch func() bool
	// needsBody is set until a byte of the body arrives if only the end of the connection ends the
	// answer and the status is a success.
	needsBody bool
	// complete is set once the body was read to the end, broken after a read error.
	complete bool
	broken   bool
	// reusable is set if the replica keeps the connection open after the answer.
	reusable bool
	close    sync.Once
}

// newAnswer returns an answer that has no connection yet.
func newAnswer(r *http.Response) *Answer {
	endsWithConnection := r.ContentLength < 0 && len(r.TransferEncoding) == 0
	return &Answer{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, response: r, reusable: !r.Close,
		needsBody: endsWithConnection && r.StatusCode < http.StatusMultipleChoices}
}

// Read reads the body. It returns io.EOF only if the body is complete. A success whose body ends
// with the connection before its first byte is not: the replica may have ended after the head.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	a.needsBody = a.needsBody && n == 0
	if err == io.EOF {
		err = a.checkEnd()
	}
	switch {
	case err == io.EOF:
		a.complete = true
	case err != nil:
		a.broken = true
	}
	return n, err
}

// checkEnd returns io.EOF if the body that has ended is complete.
func (a *Answer) checkEnd() error {
	if a.needsBody {
		return io.ErrUnexpectedEOF
	}
	if err := httpanswer.CheckTrailer(a.response.Trailer); err != nil {
		return oops.With("cause", err.Error()).Wrap(ErrInvalidAnswer)
	}
	return io.EOF
}

// DoNotReuse makes Close close the connection.
func (a *Answer) DoNotReuse() { a.reusable = false }

// Close returns the connection to the pool if the request was sent and the answer was
// read to the end. Otherwise it closes the connection, which cancels the request.
func (a *Answer) Close() {
	a.close.Do(func() {
		a.pool.end(a.conn)
		stopped := a.stopWatch()
		sent := false
		select {
		case err := <-a.written:
			sent = err == nil
		default:
		}
		if a.complete && sent && stopped && a.reusable && a.conn.reader.Buffered() == 0 {
			a.pool.put(a.target, a.conn)
			return
		}
		if a.broken && stopped {
			a.pool.discard(a.target)
		}
		a.conn.Close()
	})
}

// parseIdleTimeout returns the time for which a replica keeps an idle connection, from the
// Keep-Alive header, or 0 if the header does not state it.
func parseIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// closeOnDone closes c when ctx is done. The returned function ends this; it reports false
// if c has already been closed because ctx was done.
func closeOnDone(ctx context.Context, c *conn) func() bool {
	return context.AfterFunc(ctx, func() { c.Close() })
}
