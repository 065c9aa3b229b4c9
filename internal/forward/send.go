package forward

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/samber/oops"
)

const (
	// inlineBody is the size up to which a body is written before the answer is read. A
	// longer one may fill the connection's window, and the replica may answer before it
	// has read it all.
	inlineBody = 4 << 10
	// maxForeign is how many answers to earlier requests are passed over.
	maxForeign = 3
)

// Send sends a request and returns the answer's head. Belongs reports whether an
// answer is to this request; others on the connection are passed over. The request is
// cancelled when ctx ends before Answer.Close.
func (p *Pool) Send(ctx context.Context, r *Request, belongs func(status int, h http.Header) bool) (*Answer, error) {
	t := target{addr: r.Addr, instance: r.Instance}
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, oops.With("cause", err.Error()).Wrap(ErrUnreachable)
	}
	stop := closeOnDone(ctx, c)
	written := make(chan error, 1)
	if r.size() <= inlineBody {
		written <- write(c, r)
	} else {
		go func() { written <- write(c, r) }()
	}
	answer, err := receive(c, r, belongs)
	if err != nil {
		// A connection that was closed for ctx says nothing about the replica.
		if stop() && errors.Is(err, ErrBroken) {
			p.discard(t)
		}
		c.Close()
		return nil, err
	}
	answer.pool, answer.target, answer.conn = p, t, c
	answer.written, answer.stop = written, stop
	c.idleLimit = idleLimit(answer.Header)
	return answer, nil
}

func write(c *conn, r *Request) error {
	buffers := net.Buffers{r.head()}
	for _, part := range r.Body {
		if len(part) > 0 {
			buffers = append(buffers, part)
		}
	}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// receive reads heads of answers until one belongs to the request.
func receive(c *conn, r *Request, belongs func(int, http.Header) bool) (*Answer, error) {
	request := &http.Request{Method: r.Method}
	for foreign := 0; foreign <= maxForeign; {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			if _, network := err.(net.Error); network || isEOF(err) {
				return nil, oops.With("cause", err.Error()).Wrap(ErrBroken)
			}
			return nil, oops.With("cause", err.Error()).Wrap(ErrNotAnswer)
		}
		if response.StatusCode < 200 {
			continue
		}
		if belongs(response.StatusCode, response.Header) {
			return &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
				body: response.Body, keep: !response.Close}, nil
		}
		if response.Close || response.Body.Close() != nil {
			return nil, oops.Wrapf(ErrNotAnswer, "answer to another request ends the connection")
		}
		foreign++
	}
	return nil, oops.Wrapf(ErrNotAnswer, "answers to other requests")
}
