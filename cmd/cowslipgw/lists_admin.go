package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cowslipgw/internal/httpanswer"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// maxResponseBytes limits the size of an admin API response: two lists of 4 MiB each
// plus JSON escapes.
const maxResponseBytes = 32 << 20

// adminLists is the response to GET /admin/lists.
type adminLists struct {
	Version  structs.Offset `json:"version"`
	Accounts string         `json:"accounts"`
	Plans    string         `json:"plans"`
}

// adminPutRequest is the body of PUT /admin/lists.
type adminPutRequest struct {
	Base     structs.Offset `json:"base"`
	By       string         `json:"by"`
	Message  string         `json:"message"`
	Accounts string         `json:"accounts"`
	Plans    string         `json:"plans"`
}

// adminPutResponse is the response to PUT /admin/lists. The status determines which
// fields are set.
type adminPutResponse struct {
	status       int
	Version      structs.Offset `json:"version"`
	HostsInForce int            `json:"hosts_in_force"`
	Hosts        int            `json:"hosts"`
	By           string         `json:"by"`
	Changes      []lists.Change `json:"changes"`
	Faults       []lists.Fault  `json:"faults"`
}

// adminHTTP sends the requests to the admin API.
var adminHTTP = &http.Client{Transport: httpanswer.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// adminClient is a client of one host's admin API.
type adminClient struct {
	address string
}

// get fetches the lists in force.
func (c adminClient) get(ctx context.Context) (adminLists, error) {
	var current adminLists
	err := c.getJSON(ctx, "/admin/lists", &current)
	return current, err
}

// history fetches the most recent changes.
func (c adminClient) history(ctx context.Context) ([]lists.Change, error) {
	var response struct {
		Changes []lists.Change `json:"changes"`
	}
	err := c.getJSON(ctx, "/admin/lists/history", &response)
	return response.Changes, err
}

// put submits edited lists. It returns the outcomes that the API defines as
// responses, not as errors.
func (c adminClient) put(ctx context.Context, edit adminPutRequest) (adminPutResponse, error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return adminPutResponse{}, err
	}
	status, data, err := c.do(ctx, http.MethodPut, "/admin/lists", body)
	if err != nil {
		return adminPutResponse{}, err
	}
	response := adminPutResponse{status: status}
	switch status {
	case http.StatusGatewayTimeout:
		return response, nil
	case http.StatusOK, http.StatusConflict, http.StatusUnprocessableEntity:
		if err := json.Unmarshal(data, &response); err != nil {
			return response, fmt.Errorf("host %s sent a response that is not valid JSON: %w", c.address, err)
		}
		return response, nil
	}
	return response, unexpectedStatus(c.address, status, data)
}

// getJSON fetches and decodes a JSON document.
func (c adminClient) getJSON(ctx context.Context, path string, into any) error {
	status, data, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return unexpectedStatus(c.address, status, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("host %s sent a response that is not valid JSON: %w", c.address, err)
	}
	return nil
}

// do sends a request and reads the whole response body.
func (c adminClient) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Accept", "application/json")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := adminHTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read the response of host %s: %w", c.address, err)
	}
	return resp.StatusCode, data, nil
}

// unexpectedStatus returns an error for a status that the API does not define for the
// request.
func unexpectedStatus(address string, status int, data []byte) error {
	const maxLength = 200
	text := strings.TrimSpace(string(data[:min(len(data), maxLength)]))
	return fmt.Errorf("host %s responded with %d %s: %s", address, status, http.StatusText(status), text)
}
