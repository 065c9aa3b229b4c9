package forward

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/samber/oops"

	"cowslipgw/internal/httpanswer"
)

const (
	// maxSyncBody is the largest body that is written before the answer is read. Longer
	// bodies are written concurrently, because they may fill the TCP window, and the
	// replica may answer before it has read all of the body.
	maxSyncBody = 4 << 10
	// maxUnmatched is the maximum number of answers to earlier requests that are skipped.
	maxUnmatched = 3
)

// Send sends a request and returns the answer once its headers have arrived. matches reports
// whether an answer belongs to this request; other answers on the connection are skipped.
// The request is cancelled if ctx is done before Answer.Close.
func (p *Pool) Send(ctx context.Context, r *Request, matches func(status int, h http.Header) bool) (*Answer, error) {
	t := target{addr: r.Addr, instance: r.Instance}
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, oops.With("cause", err.Error()).Wrap(ErrUnreachable)
	}
	if err := r.checkSend(); err != nil {
		c.Close()
		return nil, oops.With("cause", err.Error()).Wrap(ErrWithheld)
	}
	p.begin(r, c)
	stopWatch := closeOnDone(ctx, c)
	written := make(chan error, 1)
	if r.bodySize() <= maxSyncBody {
		written <- write(c, r)
	} else {
		go func() { written <- write(c, r) }()
	}
	answer, err := receive(c, r, matches)
	if err != nil {
		p.end(c)
		// A connection that was closed because ctx was done is no sign of a failed replica.
		if stopWatch() && errors.Is(err, ErrBroken) {
			p.discard(t)
		}
		c.Close()
		return nil, err
	}
	answer.pool, answer.target, answer.conn = p, t, c
	answer.written, answer.stopWatch = written, stopWatch
	c.idleTimeout = parseIdleTimeout(answer.Header)
	return answer, nil
}

func write(c *conn, r *Request) error {
	buffers := net.Buffers{r.head()}
	for _, part := range r.Body {
		if len(part) > 0 {
			buffers = append(buffers, part)
		}
	}
	_, err := c.WriteBuffers(buffers)
	return err
}

// receive reads answers until one belongs to the request.
func receive(c *conn, r *Request, matches func(int, http.Header) bool) (*Answer, error) {
	request := &http.Request{Method: r.Method}
	c.head.remaining = maxHead
	defer func() { c.head.remaining = -1 }()
	for unmatched := 0; unmatched <= maxUnmatched; {
		c.head.lines = maxHeadLines
		response, head, err := c.readHead(request)
		if err != nil {
			if _, network := err.(net.Error); network || isConnClosed(err) {
				return nil, oops.With("cause", err.Error()).Wrap(ErrBroken)
			}
			return nil, oops.With("cause", err.Error()).Wrap(ErrInvalidAnswer)
		}
		if err := httpanswer.CheckHead(head); err != nil {
			return nil, oops.With("cause", err.Error()).Wrap(ErrInvalidAnswer)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if matches(response.StatusCode, response.Header) {
			return newAnswer(response), nil
		}
		if response.Close || response.Body.Close() != nil || httpanswer.CheckTrailer(response.Trailer) != nil {
			return nil, oops.Wrapf(ErrInvalidAnswer, "connection closed after an answer to another request")
		}
		unmatched++
	}
	return nil, oops.Wrapf(ErrInvalidAnswer, "too many answers to other requests")
}
