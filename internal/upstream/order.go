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

// ordersPath is the path at which an engine accepts orders.
const ordersPath = "/v1/orders"

// ErrStaleFence means that the engine rejected a request because it has seen a newer
// fencing token.
var ErrStaleFence = errors.New("fencing token is stale")

// OrderKind is the type of an order.
type OrderKind string

const (
	// OrderRelease drops the cache of a program.
	OrderRelease OrderKind = "release"
	// OrderLoad loads a model, an adapter or a version.
	OrderLoad OrderKind = "load"
	// OrderRole changes the role of the replica.
	OrderRole OrderKind = "role"
	// OrderCancel cancels a running call.
	OrderCancel OrderKind = "cancel"
)

// Order is a control command for an engine.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fence is the fencing token of the host or dispatcher that sends the order.
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

// Order sends an order. Orders are idempotent. ErrStaleFence means that the engine
// rejected the order because it has already received one with a newer fencing token.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	response, err := c.sendControl(ctx, http.MethodPost, address, ordersPath, order.Fence, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return endControl(response)
}

// endControl reads the rest of the answer to a control request and closes it. It returns ErrIncompleteAnswer if the
// answer is truncated: the engine may not have done what its status says.
func endControl(response *http.Response) error {
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBodyBytes)); err != nil {
		return fmt.Errorf("%w: %w", ErrIncompleteAnswer, err)
	}
	return nil
}

// sendControl sends a control request and returns an error unless the status is 2xx.
// The caller must close the body.
func (c *Client) sendControl(ctx context.Context, method, address, path string, fence uint64, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("User-Agent", "cowslipgw")
	c.setCallHeaders(ctx, request.Header, CallHeader{Fence: fence})
	response, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, fenceError(statusError(response))
}

// codeStaleFence is the error code with which an engine rejects a stale fencing token
// without running the request.
const codeStaleFence = "stale_fence"

// fenceError returns ErrStaleFence if the engine rejected a stale fencing token, and
// failure otherwise.
func fenceError(failure error) error {
	var status *StatusError
	var document struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if !errors.As(failure, &status) || status.Status != http.StatusConflict || json.Unmarshal(status.Body, &document) != nil ||
		document.Error.Code != codeStaleFence {
		return failure
	}
	return fmt.Errorf("%w: %w", ErrStaleFence, failure)
}

// getJSON reads a JSON document of at most limit bytes into out.
func (c *Client) getJSON(ctx context.Context, address, path string, limit int64, out any) error {
	response, err := c.sendControl(ctx, http.MethodGet, address, path, 0, nil)
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
	return json.Unmarshal(body, out)
}
