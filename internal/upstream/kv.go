package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// kvPath is the path at which an engine exports and imports KV cache.
const kvPath = "/v1/kv/"

// ExportKV starts to read a program's KV cache. The caller must close the reader. If
// the export is interrupted, the reader returns an error other than io.EOF.
func (c *Client) ExportKV(ctx context.Context, address string, program uint64) (io.ReadCloser, error) {
	path := kvPath + strconv.FormatUint(program, 10)
	response, err := c.sendControl(ctx, http.MethodGet, address, path, 0, nil)
	if err != nil {
		return nil, err
	}
	if !framed(response) {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: response has neither Content-Length nor chunked encoding", ErrIncompleteAnswer)
	}
	return response.Body, nil
}

// ImportKV writes a program's KV cache to an engine, with a fencing token.
func (c *Client) ImportKV(ctx context.Context, address string, program, fence uint64, cache io.Reader) error {
	path := kvPath + strconv.FormatUint(program, 10)
	response, err := c.sendControl(ctx, http.MethodPut, address, path, fence, cache)
	if err != nil {
		return err
	}
	return endControl(response)
}
