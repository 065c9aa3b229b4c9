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

	"cowslipgw/internal/structs"
	"cowslipgw/internal/trace"
	"cowslipgw/internal/transport"
)

// Headers towards upstreams.
const (
	headerProgram = "X-Program"
	headerFence   = "X-Fence"
	headerCall    = "X-Call-Id"
	// headerIdempotency is not in canonical form: net/http sends a POST with the
	// canonical header a second time by itself when a reused connection breaks.
	headerIdempotency = "idempotency-key"
)

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 64 << 10

// maxErrorBody bounds how much of an error answer is kept.
const maxErrorBody = 16 << 10

// ClientOptions set up a Client. All fields but Credential are required.
type ClientOptions struct {
	Network transport.Network
	// Credential is sent as bearer token; empty sends none.
	Credential string
	// FirstByte bounds the wait for the first event of a stream and for the header of an
	// app's answer.
	FirstByte time.Duration
	// Answer bounds the wait for a whole answer that is not streamed.
	Answer time.Duration
	// Idle bounds the time between two events of a stream.
	Idle time.Duration
	// AnswerLimit bounds the length in bytes of an answer that is held in memory.
	AnswerLimit int64
}

// Client talks to engines and app services. It never sends a request twice by
// itself.
type Client struct {
	options   ClientOptions
	transport *http.Transport
}

// NewClient returns a client with a connection pool of its own.
func NewClient(options ClientOptions) *Client {
	tr := transport.HTTPTransport(meteredNetwork{options.Network})
	tr.MaxResponseHeaderBytes = maxHeaderBytes
	return &Client{options: options, transport: tr}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// CallHeader names a call towards an upstream.
type CallHeader struct {
	// Program is the opaque program number; 0 for none.
	Program uint64
	// Fence is the fencing number; 0 for none.
	Fence uint64
	Call  structs.CallID
	// IdempotencyKey is passed on; empty for none.
	IdempotencyKey string
}

// apply sets the headers of a call and the host's own credential.
func (c *Client) apply(ctx context.Context, header http.Header, call CallHeader) {
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

// attempt is a connection that a request was given and its write count before.
type attempt struct {
	conn   *meteredConn
	before int64
}

// send does one round trip. Errors before any byte was written are ErrNotSent.
func (c *Client) send(ctx context.Context, request *http.Request) (*http.Response, error) {
	var attempts []attempt
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*meteredConn); ok {
				attempts = append(attempts, attempt{conn: conn, before: conn.started()})
			}
		},
	})
	request = request.WithContext(traced)
	request.GetBody = nil
	if request.Body == nil && bodyless(request.Method) {
		request.Body = io.NopCloser(eofReader{})
	}
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if unsent(attempts) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, causeOr(ctx, err))
	}
	return nil, causeOr(ctx, err)
}

// unsent says whether no attempt wrote anything, and keeps it so.
func unsent(attempts []attempt) bool {
	for _, a := range attempts {
		if !a.conn.seal(a.before) {
			return false
		}
	}
	for _, a := range attempts {
		_ = a.conn.Close()
	}
	return true
}

// bodyless says whether net/http would send a request of the method again after a
// failure. A body that ends at once, without GetBody, prevents that.
func bodyless(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// causeOr returns the context's cause if it has ended, and err otherwise.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// classify turns a failure after sending into ErrTimeout, ErrCutShort or the
// caller's own cancellation.
func classify(parent context.Context, err error) error {
	switch {
	case parent.Err() != nil:
		return context.Cause(parent)
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrTimeout), errors.Is(err, ErrCutShort),
		errors.Is(err, ErrForeignAnswer), errors.Is(err, ErrAnswerTooLong):
		return err
	}
	return fmt.Errorf("%w: %w", ErrCutShort, err)
}

// checkCall fails when an answer names another call than the request.
func checkCall(response *http.Response, call structs.CallID) error {
	echoed := response.Header.Get(headerCall)
	if echoed != "" && call != "" && echoed != string(call) {
		return fmt.Errorf("%w: sent %s, received %s", ErrForeignAnswer, call, echoed)
	}
	return nil
}

// statusError reads an answer whose status is not 200.
func statusError(response *http.Response) *StatusError {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	result := &StatusError{Status: response.StatusCode, Body: body}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return result
}

// eofReader is an empty body that net/http does not know to be empty.
type eofReader struct{}

// Read returns io.EOF.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }
