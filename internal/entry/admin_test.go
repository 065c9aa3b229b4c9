package entry_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/entry"
	"cowslipgw/internal/lists"
)

// fakeOperator responds to every PutLists with the same outcome.
type fakeOperator struct {
	unready []string
	put     entry.ListsEditResult
	err     error
	edits   []entry.ListsEdit
}

func (f *fakeOperator) Unready() []string        { return f.unready }
func (f *fakeOperator) Status() any              { return map[string]int{"hosts": 3} }
func (f *fakeOperator) Lists() *lists.Lists      { return testLists(callerKey) }
func (f *fakeOperator) History() []lists.Change  { return []lists.Change{{Version: 4, By: "ana"}} }
func (f *fakeOperator) WriteMetrics(w io.Writer) { io.WriteString(w, "up 1\n") }

func (f *fakeOperator) PutLists(_ context.Context, edit entry.ListsEdit) (entry.ListsEditResult, error) {
	f.edits = append(f.edits, edit)
	return f.put, f.err
}

// TestAdmin guards against misreporting the outcome of an operator's change.
func TestAdmin(t *testing.T) {
	edit := `{"base":3,"by":"eva","message":"m","accounts":"a","plans":"p"}`
	outcome := func(result lists.PutResult) entry.ListsEditResult {
		return entry.ListsEditResult{PutResult: result, InForce: 2, Hosts: 3}
	}
	cases := []struct {
		method, path, body string
		operator           fakeOperator
		status             int
		want               string
	}{
		{"GET", "/healthz", "", fakeOperator{}, 200, `"ok"`},
		{"GET", "/readyz", "", fakeOperator{}, 200, `"ready":true`},
		{"GET", "/readyz", "", fakeOperator{unready: []string{"no lists"}}, 503, `"no lists"`},
		{"GET", "/metrics", "", fakeOperator{}, 200, "up 1"},
		{"GET", "/admin/status", "", fakeOperator{}, 200, `{"hosts":3}`},
		{"GET", "/admin/lists", "", fakeOperator{}, 200, `"plans":"\n[plan basic]`},
		{"GET", "/admin/lists/history", "", fakeOperator{}, 200, `"by":"ana"`},
		{"PUT", "/admin/lists", edit, fakeOperator{put: outcome(lists.PutResult{State: lists.PutAccepted, Version: 5})}, 200, `{"hosts":3,"hosts_in_force":2,"version":5}`},
		{"PUT", "/admin/lists", edit, fakeOperator{put: outcome(lists.PutResult{State: lists.PutConflict, Version: 4, Changes: []lists.Change{{By: "ana"}}})}, 409, `"by":"ana"`},
		{"PUT", "/admin/lists", edit, fakeOperator{put: outcome(lists.PutResult{State: lists.PutInvalid, Faults: []lists.Fault{{File: "plans", Message: "bad"}}})}, 422, `{"faults":[{"file":"plans","message":"bad"}]}`},
		{"PUT", "/admin/lists", edit, fakeOperator{put: outcome(lists.PutResult{State: lists.PutUnknown})}, 504, `"run":"unknown"`},
		{"PUT", "/admin/lists", edit, fakeOperator{err: errors.New("no quorum")}, 503, `"run":"no"`},
		{"PUT", "/admin/lists", `{"base":3}`, fakeOperator{}, 400, `is missing`},
		{"PUT", "/admin/lists", strings.Replace(edit, "{", `{"x":1,`, 1), fakeOperator{}, 400, `is not known`},
		{"PUT", "/admin/lists", strings.Replace(edit, "eva", "", 1), fakeOperator{}, 400, `name the operator`},
		{"PUT", "/admin/lists", edit + "x", fakeOperator{}, 400, `not one JSON object`},
		{"POST", "/admin/lists", edit, fakeOperator{}, 405, ""},
	}
	for _, c := range cases {
		is := is.New(t)
		recorder := httptest.NewRecorder()
		entry.NewAdmin(&c.operator).ServeHTTP(recorder, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		is.Equal(recorder.Code, c.status)
		is.True(strings.Contains(recorder.Body.String(), c.want))
		is.True(c.status != 400 || len(c.operator.edits) == 0)
	}
}
