package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"cowslipgw/internal/structs"
)

// ordersPath is the path of orders at an engine.
const ordersPath = "/v1/orders"

// ErrOldFence means that the engine has seen a newer fencing number.
var ErrOldFence = errors.New("the engine has seen a newer fencing number")

// OrderKind says what an order asks for.
type OrderKind string

const (
	// OrderRelease drops the cache of a program.
	OrderRelease OrderKind = "release"
	// OrderLoad loads a model, an adapter or a version.
	OrderLoad OrderKind = "load"
	// OrderRole changes the replica's role.
	OrderRole OrderKind = "role"
	// OrderCancel ends a running call.
	OrderCancel OrderKind = "cancel"
)

// Order is one order to an engine.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fence is the fencing number of the host or dispatcher that gives the order.
	Fence uint64 `json:"fence"`
	// Program is set for OrderRelease.
	Program uint64 `json:"program,omitempty"`
	// Model, Adapter and Version are set for OrderLoad.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is set for OrderRole.
	Role string `json:"role,omitempty"`
	// Call is set for OrderCancel.
	Call structs.CallID `json:"call,omitempty"`
}

// Order gives an order. Every order may be repeated. ErrOldFence means that the
// engine refused it, because a newer holder gave an order before.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	response, err := c.control(ctx, http.MethodPost, address, ordersPath, order.Fence, bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
	return nil
}

// control sends a control request and fails unless the status is 2xx. The caller
// closes the body.
func (c *Client) control(ctx context.Context, method, address, path string, fence uint64, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("User-Agent", "cowslipgw")
	c.apply(ctx, request.Header, CallHeader{Fence: fence})
	response, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	failure := statusError(response)
	return nil, fenced(failure)
}

// codeStaleFence is the error code of an engine that refused an old fencing number
// and ran nothing.
const codeStaleFence = "stale_fence"

// fenced returns ErrOldFence for a refusal of an old fencing number, and the status
// error otherwise.
func fenced(failure *StatusError) error {
	var document struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if failure.Status != http.StatusConflict || json.Unmarshal(failure.Body, &document) != nil ||
		document.Error.Code != codeStaleFence {
		return failure
	}
	return fmt.Errorf("%w: %w", ErrOldFence, failure)
}

// getJSON reads a JSON document of at most limit bytes.
func (c *Client) getJSON(ctx context.Context, address, path string, limit int64, into any) error {
	response, err := c.control(ctx, http.MethodGet, address, path, 0, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > limit {
		return ErrAnswerTooLong
	}
	return json.Unmarshal(body, into)
}
