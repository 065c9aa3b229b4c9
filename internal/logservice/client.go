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

	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
)

const (
	// appendTimeout bounds one append request.
	appendTimeout = 2 * time.Second
	// readGrace is how long a read may take beyond the wait that it asked for.
	readGrace = 2 * time.Second
	// maxAnswer bounds the bytes of one answer that are read into memory.
	maxAnswer = 32 << 20
	// maxErrorText bounds how much of a refusal is copied into an error.
	maxErrorText = 256
)

// Client is a Log over HTTP. It is safe for concurrent use.
type Client struct {
	base      string
	http      *http.Client
	transport *http.Transport
}

// NewClient returns a client of the log service at an "ip:port" address.
func NewClient(network transport.Network, address string) *Client {
	tr := transport.HTTPTransport(network)
	return &Client{
		base:      "http://" + address + "/streams/",
		http:      &http.Client{Transport: tr},
		transport: tr,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// appendRequest is the body of an append.
type appendRequest struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// appendAnswer is the answer to an append.
type appendAnswer struct {
	Offset structs.Offset `json:"offset"`
}

// Append implements Log. Errors are ErrUnavailable and ErrRejected.
func (c *Client) Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	body, err := json.Marshal(appendRequest{ID: id, Data: data})
	if err != nil {
		return 0, c.fail(stream, ErrRejected, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+url.PathEscape(stream), bytes.NewReader(body))
	if err != nil {
		return 0, c.fail(stream, ErrRejected, err)
	}
	request.Header.Set("Content-Type", "application/json")
	status, answer, err := c.do(request)
	if err != nil {
		return 0, c.fail(stream, ErrUnavailable, err)
	}
	if status != http.StatusOK {
		return 0, c.fail(stream, refusal(status), statusError(status, answer))
	}
	var decoded appendAnswer
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return 0, c.fail(stream, ErrUnavailable, errors.Join(ErrMalformed, err))
	}
	if decoded.Offset == 0 {
		return 0, c.fail(stream, ErrUnavailable, errors.Join(ErrMalformed, errors.New("append answer without an offset")))
	}
	return decoded.Offset, nil
}

// Read implements Log. Errors are ErrUnavailable, ErrTrimmed and ErrRejected.
func (c *Client) Read(ctx context.Context, stream string, after structs.Offset, limit int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	target := c.base + url.PathEscape(stream) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Batch{}, c.fail(stream, ErrRejected, err)
	}
	status, answer, err := c.do(request)
	if err != nil {
		return Batch{}, c.fail(stream, ErrUnavailable, err)
	}
	switch status {
	case http.StatusOK:
		batch, err := DecodeBatch(answer, after)
		if errors.Is(err, ErrTrimmed) {
			return batch, c.fail(stream, err, nil)
		}
		if err != nil {
			return Batch{}, c.fail(stream, ErrUnavailable, err)
		}
		return batch, nil
	case http.StatusGone:
		return c.trimmed(stream, answer, after)
	default:
		return Batch{}, c.fail(stream, refusal(status), statusError(status, answer))
	}
}

// trimmed decodes the answer to a read of records that the log no longer keeps.
func (c *Client) trimmed(stream string, answer []byte, after structs.Offset) (Batch, error) {
	var batch Batch
	err := json.Unmarshal(answer, &batch)
	if err == nil && batch.First <= after+1 {
		err = fmt.Errorf("records after offset %d are said to be trimmed, but the first one kept is %d", after, batch.First)
	}
	if err != nil {
		return Batch{}, c.fail(stream, ErrUnavailable, errors.Join(ErrMalformed, err))
	}
	batch.Records = nil
	return batch, c.fail(stream, ErrTrimmed, nil)
}

// do sends a request and reads the whole answer.
func (c *Client) do(request *http.Request) (status int, answer []byte, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return 0, nil, err
	}
	if len(answer) > maxAnswer {
		return 0, nil, fmt.Errorf("%w: answer is longer than %d bytes", ErrMalformed, maxAnswer)
	}
	return response.StatusCode, answer, nil
}

func (c *Client) fail(stream string, kind, cause error) error {
	return oops.In("logservice").With("stream", stream).Wrap(errors.Join(kind, cause))
}

// refusal maps a status to the error that callers act on. Anything that may pass
// by itself, such as a limit of the log service, is ErrUnavailable.
func refusal(status int) error {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusRequestTimeout:
		return ErrUnavailable
	case status >= 400 && status < 500:
		return ErrRejected
	default:
		return ErrUnavailable
	}
}

func statusError(status int, answer []byte) error {
	return fmt.Errorf("status %d: %s", status, answer[:min(len(answer), maxErrorText)])
}
