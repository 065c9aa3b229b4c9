package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// kvPath is the path of exported cache at an engine.
const kvPath = "/v1/kv/"

// ExportKV starts to read a program's KV cache. The caller closes the reader; an
// export that breaks off ends with an error other than io.EOF.
func (c *Client) ExportKV(ctx context.Context, address string, program uint64) (io.ReadCloser, error) {
	path := kvPath + strconv.FormatUint(program, 10)
	response, err := c.control(ctx, http.MethodGet, address, path, 0, nil)
	if err != nil {
		return nil, err
	}
	if !framed(response) {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: the export has neither Content-Length nor chunks", ErrCutShort)
	}
	return response.Body, nil
}

// ImportKV writes a program's KV cache to an engine under a fencing number.
func (c *Client) ImportKV(ctx context.Context, address string, program, fence uint64, cache io.Reader) error {
	path := kvPath + strconv.FormatUint(program, 10)
	response, err := c.control(ctx, http.MethodPut, address, path, fence, cache)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
