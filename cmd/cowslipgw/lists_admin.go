package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// maxAnswerBytes limits what is read from the admin API: two lists of 4 MiB each with
// JSON escapes.
const maxAnswerBytes = 32 << 20

// adminLists is the answer to GET /admin/lists.
type adminLists struct {
	Version  structs.Offset `json:"version"`
	Accounts string         `json:"accounts"`
	Plans    string         `json:"plans"`
}

// adminPut is the body of PUT /admin/lists.
type adminPut struct {
	Base     structs.Offset `json:"base"`
	By       string         `json:"by"`
	Message  string         `json:"message"`
	Accounts string         `json:"accounts"`
	Plans    string         `json:"plans"`
}

// adminAnswer is the answer to PUT /admin/lists; the status says which fields are set.
type adminAnswer struct {
	status       int
	Version      structs.Offset `json:"version"`
	HostsInForce int            `json:"hosts_in_force"`
	Hosts        int            `json:"hosts"`
	By           string         `json:"by"`
	Changes      []lists.Change `json:"changes"`
	Faults       []lists.Fault  `json:"faults"`
}

// adminClient calls the admin API of one host.
type adminClient struct {
	address string
}

// get fetches the lists in force.
func (c adminClient) get(ctx context.Context) (adminLists, error) {
	var current adminLists
	err := c.getJSON(ctx, "/admin/lists", &current)
	return current, err
}

// history fetches the latest changes.
func (c adminClient) history(ctx context.Context) ([]lists.Change, error) {
	var answer struct {
		Changes []lists.Change `json:"changes"`
	}
	err := c.getJSON(ctx, "/admin/lists/history", &answer)
	return answer.Changes, err
}

// put sends edited lists. The outcomes that the API defines are answers, not errors.
func (c adminClient) put(ctx context.Context, edit adminPut) (adminAnswer, error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return adminAnswer{}, err
	}
	status, data, err := c.do(ctx, http.MethodPut, "/admin/lists", body)
	if err != nil {
		return adminAnswer{}, err
	}
	answer := adminAnswer{status: status}
	switch status {
	case http.StatusGatewayTimeout:
		return answer, nil
	case http.StatusOK, http.StatusConflict, http.StatusUnprocessableEntity:
		if err := json.Unmarshal(data, &answer); err != nil {
			return answer, fmt.Errorf("host %s sent an answer that is not JSON: %w", c.address, err)
		}
		return answer, nil
	}
	return answer, unexpected(c.address, status, data)
}

// getJSON fetches and decodes a document.
func (c adminClient) getJSON(ctx context.Context, path string, into any) error {
	status, data, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return unexpected(c.address, status, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("host %s sent an answer that is not JSON: %w", c.address, err)
	}
	return nil
}

// do sends one request and reads the whole answer.
func (c adminClient) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Accept", "application/json")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read the answer of host %s: %w", c.address, err)
	}
	return resp.StatusCode, data, nil
}

// unexpected describes a status that the API does not define for the request.
func unexpected(address string, status int, data []byte) error {
	const most = 200
	text := strings.TrimSpace(string(data[:min(len(data), most)]))
	return fmt.Errorf("host %s answered %d %s: %s", address, status, http.StatusText(status), text)
}
