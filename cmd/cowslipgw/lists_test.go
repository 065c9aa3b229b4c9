package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/lists"
)

// adminStub imitates a host's admin API: a put based on another version than the one
// in force is a conflict.
type adminStub struct {
	current adminLists
	status  int
	puts    int
}

func (s *adminStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/admin/lists/history" {
		_ = json.NewEncoder(w).Encode(map[string]any{"changes": []lists.Change{{Version: 3, By: "ana", Message: "m", Changes: []string{"plan p added"}}}})
		return
	}
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(s.current)
		return
	}
	s.puts++
	var put adminPutRequest
	_ = json.NewDecoder(r.Body).Decode(&put)
	switch {
	case s.status != 0:
		w.WriteHeader(s.status)
	case put.Base != s.current.Version:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]any{"version": s.current.Version, "by": "ana", "changes": []lists.Change{{Version: s.current.Version, By: "ana", Changes: []string{"plan p: rate changed"}}}})
	default:
		s.current = adminLists{Version: put.Base + 1, Accounts: put.Accounts, Plans: put.Plans}
		_ = json.NewEncoder(w).Encode(map[string]any{"version": s.current.Version, "hosts_in_force": 3, "hosts": 3})
	}
}

// TestListsCommands guards against an edit that is lost silently and against exit
// status 0 for a change that is not in force.
func TestListsCommands(t *testing.T) {
	is := is.New(t)
	stub := &adminStub{current: adminLists{Version: 3, Plans: "[plan p]\nrate=1\nburst=2\n"}}
	server := httptest.NewServer(stub)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	dir := filepath.Join(t.TempDir(), "edit")
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		status := dispatch(t.Context(), append([]string{"lists"}, args...), &out, &out)
		return status, out.String()
	}
	put := func() (int, string) { return run("put", "-host", address, "-dir", dir, "-by", "eva") }
	status, _ := put()
	is.Equal(status, exitFailure) // The directory does not exist yet.
	status, _ = run("get", "-host", address, "-dir", dir)
	is.Equal(status, exitOK)
	is.NoErr(os.WriteFile(filepath.Join(dir, plansName), []byte("[plan p]\nrate=0\nburst=2\n"), 0o600))
	status, out := put()
	is.Equal(status, exitFailure)
	is.True(strings.Contains(out, "rate: invalid number"))
	is.Equal(stub.puts, 0)
	is.NoErr(os.WriteFile(filepath.Join(dir, plansName), []byte("[plan p]\nrate=5\nburst=2\n"), 0o600))
	for range 2 { // The second put is based on the version of the first.
		status, out = put()
		is.Equal(status, exitOK)
		is.True(strings.Contains(out, "3 of 3 hosts"))
	}
	stub.current.Version = 9
	status, out = put()
	is.Equal(status, exitFailure)
	is.True(strings.Contains(out, "version 9 by ana"))
	is.True(strings.Contains(out, "plan p: rate changed"))
	for _, code := range []int{http.StatusGatewayTimeout, http.StatusInternalServerError, http.StatusUnprocessableEntity} {
		stub.status = code
		status, _ = put()
		is.Equal(status, exitFailure)
	}
	status, out = run("history", "-host", address)
	is.Equal(status, exitOK)
	is.True(strings.Contains(out, "by ana: m"))
	status, _ = run("put", "-host", address, "-dir", dir)
	is.Equal(status, exitUsage)
	server.Close()
	status, _ = put()
	is.Equal(status, exitFailure)
}

// TestKeyNew guards against a printed hash that does not match the printed key.
func TestKeyNew(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.Equal(dispatch(t.Context(), []string{"key", "new"}, &out, &out), exitOK)
	words := strings.Fields(out.String())
	is.Equal(len(words), 4)
	is.Equal(words[3], lists.HashKey(words[1]).String())
}
