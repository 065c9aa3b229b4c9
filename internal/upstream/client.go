package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"cowslipgw/internal/httpanswer"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/trace"
	"cowslipgw/internal/transport"
)

// Headers of requests to upstreams.
const (
	headerProgram = "X-Program"
	headerFence   = "X-Fence"
	headerCall    = "X-Call-Id"
	// headerIdempotency is deliberately not in canonical form: with the canonical
	// header, net/http retries a POST on its own when a reused connection breaks.
	headerIdempotency = "idempotency-key"
)

// maxHeaderBytes limits the size of a response header.
const maxHeaderBytes = 64 << 10

// maxErrorBodyBytes limits how much of an error response body is read.
const maxErrorBodyBytes = 16 << 10

// ClientOptions configures a Client. All fields except Credential are required.
type ClientOptions struct {
	Network transport.Network
	// Credential is sent as a bearer token; empty sends none.
	Credential string
	// FirstByteTimeout is the timeout for the first event of a stream and for the header
	// of an app's response.
	FirstByteTimeout time.Duration
	// AnswerTimeout is the timeout for a complete answer that is not streamed.
	AnswerTimeout time.Duration
	// StreamIdleTimeout is the timeout between two events of a stream.
	StreamIdleTimeout time.Duration
	// AnswerLimit is the maximum size in bytes of an answer that is held in memory.
	AnswerLimit int64
}

// Client sends requests to engines and app services. It never retries a request.
type Client struct {
	options   ClientOptions
	transport *httpanswer.Transport
}

// NewClient returns a client with its own connection pool.
func NewClient(options ClientOptions) *Client {
	tr := transport.HTTPTransport(countingNetwork{options.Network})
	tr.MaxResponseHeaderBytes = maxHeaderBytes
	return &Client{options: options, transport: httpanswer.NewTransport(tr)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// CallHeader identifies a call to an upstream.
type CallHeader struct {
	// Program is the opaque program number; 0 for none.
	Program uint64
	// Fence is the fencing token; 0 for none.
	Fence uint64
	Call  structs.CallID
	// IdempotencyKey is the idempotency key to send; empty for none.
	IdempotencyKey string
}

// setCallHeaders sets the headers of a call, the host's own credential and the trace
// context.
func (c *Client) setCallHeaders(ctx context.Context, header http.Header, call CallHeader) {
	if c.options.Credential != "" {
		header.Set("Authorization", "Bearer "+c.options.Credential)
	}
	if call.Program != 0 {
		header.Set(headerProgram, strconv.FormatUint(call.Program, 10))
	}
	if call.Fence != 0 {
		header.Set(headerFence, strconv.FormatUint(call.Fence, 10))
	}
	if call.Call != "" {
		header.Set(headerCall, string(call.Call))
	}
	if call.IdempotencyKey != "" {
		header[headerIdempotency] = []string{call.IdempotencyKey}
	}
	trace.Inject(ctx, header)
}

// connUse is a connection that a request was assigned to, with its write count at that
// time.
type connUse struct {
	conn         *countingConn
	writesBefore int64
}

// send performs one round trip. It returns ErrNotSent if no byte of the request was
// written.
func (c *Client) send(ctx context.Context, request *http.Request) (*http.Response, error) {
	var attempts []connUse
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*httpanswer.Conn).NetConn().(*countingConn); ok {
				attempts = append(attempts, connUse{conn: conn, writesBefore: conn.writeCount()})
			}
		},
	})
	request = request.WithContext(tracedCtx)
	request.GetBody = nil
	if request.Body == nil && replayedByTransport(request.Method) {
		request.Body = io.NopCloser(emptyBody{})
	}
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if sealUnsent(attempts) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, causeOr(ctx, err))
	}
	return nil, causeOr(ctx, err)
}

// sealUnsent reports whether nothing was written to any of the connections. If so, it
// seals and closes them, so that nothing can be written later either.
func sealUnsent(attempts []connUse) bool {
	for _, a := range attempts {
		if !a.conn.seal(a.writesBefore) {
			return false
		}
	}
	for _, a := range attempts {
		_ = a.conn.Close()
	}
	return true
}

// replayedByTransport reports whether net/http retries requests of the method on its
// own when a connection breaks. A non-nil body that is empty, together with a nil
// GetBody, prevents that.
func replayedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// causeOr returns the cause of ctx if it has ended, and err otherwise.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// classifyError converts an error after sending to ErrTimeout, ErrIncompleteAnswer or
// the cause of the caller's own cancellation. Errors that are already classified are
// returned unchanged.
func classifyError(parent context.Context, err error) error {
	switch {
	case parent.Err() != nil:
		return context.Cause(parent)
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrTimeout), errors.Is(err, ErrIncompleteAnswer),
		errors.Is(err, ErrAnswerMismatch), errors.Is(err, ErrAnswerTooLong):
		return err
	}
	return fmt.Errorf("%w: %w", ErrIncompleteAnswer, err)
}

// checkCallID returns ErrAnswerMismatch if the response echoes a call ID other than the
// request's.
func checkCallID(response *http.Response, call structs.CallID) error {
	echoed := response.Header.Get(headerCall)
	if echoed != "" && call != "" && echoed != string(call) {
		return fmt.Errorf("%w: sent %s, received %s", ErrAnswerMismatch, call, echoed)
	}
	return nil
}

// statusError returns the error for a response with an unexpected status. It reads the
// start of the body. Without that it returns ErrIncompleteAnswer, since a status counts only
// as part of an answer.
func statusError(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: status %d: %w", ErrIncompleteAnswer, response.StatusCode, err)
	}
	result := &StatusError{Status: response.StatusCode, Body: body}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result
}

// emptyBody is an empty request body that net/http does not recognize as empty.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
