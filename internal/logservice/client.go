package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"

	"cowslipgw/internal/httpanswer"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
)

const (
	// appendTimeout bounds one append request.
	appendTimeout = 2 * time.Second
	// readTimeoutMargin is added to the wait of a read request to get its timeout.
	readTimeoutMargin = 2 * time.Second
	// maxAnswerBytes bounds the size of one answer.
	maxAnswerBytes = 32 << 20
	// maxErrorBytes bounds the part of an error answer that is copied into the error.
	maxErrorBytes = 256
)

// Client is the HTTP client of the log service. It implements Log and is safe for
// concurrent use.
type Client struct {
	base      string
	http      *http.Client
	transport *httpanswer.Transport
}

// NewClient returns a client of the log service at the given "ip:port" address.
func NewClient(network transport.Network, address string) *Client {
	tr := httpanswer.NewTransport(transport.HTTPTransport(network))
	return &Client{
		base:      "http://" + address + "/streams/",
		http:      &http.Client{Transport: tr},
		transport: tr,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// appendRequest is the body of an append request.
type appendRequest struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// appendAnswer is the body of the answer to an append request.
type appendAnswer struct {
	Offset structs.Offset `json:"offset"`
}

// Append implements Log. Errors wrap ErrUnavailable or ErrRejected.
func (c *Client) Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	body, err := json.Marshal(appendRequest{ID: id, Data: data})
	if err != nil {
		return 0, c.wrapError(stream, ErrRejected, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+url.PathEscape(stream), bytes.NewReader(body))
	if err != nil {
		return 0, c.wrapError(stream, ErrRejected, err)
	}
	request.Header.Set("Content-Type", "application/json")
	status, answer, err := c.do(request)
	if err != nil {
		return 0, c.wrapError(stream, ErrUnavailable, err)
	}
	if status != http.StatusOK {
		return 0, c.wrapError(stream, errorForStatus(status), statusError(status, answer))
	}
	var decoded appendAnswer
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return 0, c.wrapError(stream, ErrUnavailable, errors.Join(ErrMalformed, err))
	}
	if decoded.Offset == 0 {
		return 0, c.wrapError(stream, ErrUnavailable, errors.Join(ErrMalformed, errors.New("append answer without an offset")))
	}
	return decoded.Offset, nil
}

// Read implements Log. Errors wrap ErrUnavailable, ErrTrimmed or ErrRejected.
func (c *Client) Read(ctx context.Context, stream string, after structs.Offset, limit int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	target := c.base + url.PathEscape(stream) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Batch{}, c.wrapError(stream, ErrRejected, err)
	}
	status, answer, err := c.do(request)
	if err != nil {
		return Batch{}, c.wrapError(stream, ErrUnavailable, err)
	}
	switch status {
	case http.StatusOK:
		batch, err := DecodeBatch(answer, after)
		if errors.Is(err, ErrTrimmed) {
			return batch, c.wrapError(stream, err, nil)
		}
		if err != nil {
			return Batch{}, c.wrapError(stream, ErrUnavailable, err)
		}
		return batch, nil
	case http.StatusGone:
		return c.decodeTrimmed(stream, answer, after)
	default:
		return Batch{}, c.wrapError(stream, errorForStatus(status), statusError(status, answer))
	}
}

// decodeTrimmed decodes the answer to a read of trimmed records. It returns ErrTrimmed
// with Batch.First set, or ErrMalformed joined with ErrUnavailable.
func (c *Client) decodeTrimmed(stream string, answer []byte, after structs.Offset) (Batch, error) {
	var batch Batch
	err := json.Unmarshal(answer, &batch)
	if err == nil && batch.First <= after+1 {
		err = fmt.Errorf("records after offset %d are reported as trimmed, but the oldest retained offset is %d", after, batch.First)
	}
	if err != nil {
		return Batch{}, c.wrapError(stream, ErrUnavailable, errors.Join(ErrMalformed, err))
	}
	batch.Records = nil
	return batch, c.wrapError(stream, ErrTrimmed, nil)
}

// do sends a request and reads the complete answer.
func (c *Client) do(request *http.Request) (status int, answer []byte, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if len(answer) > maxAnswerBytes {
		return 0, nil, fmt.Errorf("%w: answer is longer than %d bytes", ErrMalformed, maxAnswerBytes)
	}
	return response.StatusCode, answer, nil
}

// wrapError joins the kind of an error, which callers match, with its cause.
func (c *Client) wrapError(stream string, kind, cause error) error {
	return oops.In("logservice").With("stream", stream).Wrap(errors.Join(kind, cause))
}

// errorForStatus returns the error for an HTTP status. Transient faults, such as a rate
// limit of the log service, are ErrUnavailable.
func errorForStatus(status int) error {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusRequestTimeout:
		return ErrUnavailable
	case status >= 400 && status < 500:
		return ErrRejected
	default:
		return ErrUnavailable
	}
}

// statusError returns an error with the status and the beginning of the answer.
func statusError(status int, answer []byte) error {
	return fmt.Errorf("status %d: %s", status, answer[:min(len(answer), maxErrorBytes)])
}
