package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// Limits of the admin address.
const (
	maxListsBodySize = 16 << 20
	// putTimeout bounds how long an operator waits for the outcome of a change to the
	// lists.
	putTimeout       = 30 * time.Second
	adminReadTimeout = time.Minute
)

// Operator provides what operators can inspect and change at one host.
type Operator interface {
	// Unready returns the reasons why the host should receive no callers. It is empty
	// if the host is ready.
	Unready() []string
	// Status returns a document that is encoded as JSON.
	Status() any
	// Lists returns the lists in force, or nil if none are known yet.
	Lists() *lists.Lists
	// History returns the accepted changes, oldest first.
	History() []lists.Change
	// PutLists publishes a change. An error means that the change was not published.
	PutLists(ctx context.Context, edit ListsEdit) (ListsEditResult, error)
	// WriteMetrics writes the host's metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// ListsEdit is an operator's change to the lists and the body of PUT /admin/lists.
type ListsEdit struct {
	// Base is the version on which the change is based.
	Base     structs.Offset `json:"base"`
	By       string         `json:"by"`
	Message  string         `json:"message"`
	Accounts string         `json:"accounts"`
	Plans    string         `json:"plans"`
}

// ListsEditResult is the outcome of an operator's change.
type ListsEditResult struct {
	lists.PutResult

	// InForce is the number of hosts at which the new version is in force, out of the
	// Hosts in the view.
	InForce, Hosts int
}

// Admin is the HTTP handler for operators.
type Admin struct {
	operator Operator
	mux      *http.ServeMux
}

// NewAdmin returns the handler of the admin address.
func NewAdmin(operator Operator) *Admin {
	a := &Admin{operator: operator, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /healthz", a.health)
	a.mux.HandleFunc("GET /readyz", a.ready)
	a.mux.HandleFunc("GET /metrics", a.writeMetrics)
	a.mux.HandleFunc("GET /admin/status", a.status)
	a.mux.HandleFunc("GET /admin/lists", a.getLists)
	a.mux.HandleFunc("PUT /admin/lists", a.putLists)
	a.mux.HandleFunc("GET /admin/lists/history", a.history)
	return a
}

// Server returns an HTTP server for the admin address.
func (a *Admin) Server() *http.Server {
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: adminReadTimeout,
		ReadTimeout:       adminReadTimeout,
		MaxHeaderBytes:    maxCallerHeaderBytes,
		ErrorLog:          discardLog,
	}
}

// ServeHTTP serves one operator request.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

func (a *Admin) health(w http.ResponseWriter, _ *http.Request) {
	writeAdminJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	reasons := a.operator.Unready()
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeAdminJSON(w, status, map[string]any{"ready": len(reasons) == 0, "reasons": append([]string{}, reasons...)})
}

func (a *Admin) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	a.operator.WriteMetrics(w)
}

func (a *Admin) status(w http.ResponseWriter, _ *http.Request) {
	writeAdminJSON(w, http.StatusOK, a.operator.Status())
}

func (a *Admin) getLists(w http.ResponseWriter, _ *http.Request) {
	current := a.operator.Lists()
	if current == nil {
		writeAdminProblem(w, retryLater("not-ready", "this host has no lists yet", time.Second))
		return
	}
	writeAdminJSON(w, http.StatusOK, map[string]any{
		"version":  current.Version,
		"accounts": current.AccountsText,
		"plans":    current.PlansText,
	})
}

func (a *Admin) history(w http.ResponseWriter, _ *http.Request) {
	changes := append([]lists.Change{}, a.operator.History()...)
	writeAdminJSON(w, http.StatusOK, map[string]any{"changes": changes})
}

// putLists responds with 200 if the change is in force at this host, 409 if a
// concurrent change won, 422 and the faults if the change is invalid, and 504 if it may
// still come into force.
func (a *Admin) putLists(w http.ResponseWriter, r *http.Request) {
	edit, problem := readEdit(w, r)
	if problem != nil {
		writeAdminProblem(w, problem)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), putTimeout)
	defer cancel()
	put, err := a.operator.PutLists(ctx, edit)
	if err != nil {
		writeAdminProblem(w, problemOf(err, "put-failed", err.Error()))
		return
	}
	switch put.State {
	case lists.PutAccepted:
		writeAdminJSON(w, http.StatusOK, map[string]any{"version": put.Version, "hosts_in_force": put.InForce, "hosts": put.Hosts})
	case lists.PutConflict:
		writeAdminJSON(w, http.StatusConflict, map[string]any{
			"version": put.Version,
			"by":      latestAuthor(put.Changes),
			"changes": append([]lists.Change{}, put.Changes...),
		})
	case lists.PutInvalid:
		writeAdminJSON(w, http.StatusUnprocessableEntity, map[string]any{"faults": put.Faults})
	default:
		unknown := newProblem(http.StatusGatewayTimeout, "unknown", "the log did not confirm the change in time; it may still come into force: read the history before another attempt")
		writeAdminProblem(w, withRun(unknown, structs.RunUnknown))
	}
}

// readEdit reads and validates the body of a change.
func readEdit(w http.ResponseWriter, r *http.Request) (ListsEdit, *structs.Problem) {
	var edit ListsEdit
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxListsBodySize))
	if problem := bodyProblem(err, maxListsBodySize); problem != nil {
		return edit, problem
	}
	var given map[string]json.RawMessage
	if err := json.Unmarshal(body, &given); err != nil {
		return edit, invalidBody("the body is not one JSON object: %s", err)
	}
	for _, name := range []string{"base", "by", "message", "accounts", "plans"} {
		if _, ok := given[name]; !ok {
			return edit, invalidBody("field %q is missing", name)
		}
		delete(given, name)
	}
	for name := range given {
		return edit, invalidBody("field %q is not known", name)
	}
	if err := json.Unmarshal(body, &edit); err != nil {
		return edit, invalidBody("the body does not fit: %s", err)
	}
	if edit.By == "" {
		return edit, invalidBody("field %q must name the operator", "by")
	}
	return edit, nil
}

// latestAuthor returns the author of the change that is in force.
func latestAuthor(changes []lists.Change) string {
	if len(changes) == 0 {
		return ""
	}
	return changes[len(changes)-1].By
}

func writeAdminJSON(w http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		writeAdminProblem(w, newProblem(http.StatusInternalServerError, "internal", fmt.Sprintf("the answer cannot be encoded: %s", err)))
		return
	}
	writeAdmin(w, status, "application/json", body)
}

func writeAdminProblem(w http.ResponseWriter, problem *structs.Problem) {
	setProblemHeader(w.Header(), problem)
	writeAdmin(w, problem.Status, "application/problem+json", encodeProblem(problem))
}

func writeAdmin(w http.ResponseWriter, status int, kind string, body []byte) {
	header := w.Header()
	header.Set("Content-Type", kind)
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
