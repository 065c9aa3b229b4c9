package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/admission"
	"cowslipgw/internal/route"
	"cowslipgw/internal/storelog"
)

// fakeAdmission refuses programs while refusing is set, and records what it is asked.
type fakeAdmission struct {
	mu       sync.Mutex
	refusing bool
	asked    []admission.Request
}

// Admit implements gateway.ProgramAdmission.
func (a *fakeAdmission) Admit(_ context.Context, r admission.Request) admission.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = append(a.asked, r)
	if a.refusing {
		return admission.Decision{Reason: admission.NoCapacity, RetryAfter: 50 * time.Millisecond}
	}
	return admission.Decision{}
}

func (a *fakeAdmission) setRefusing(refusing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusing = refusing
}

// takeAsked returns the requests since the last call.
func (a *fakeAdmission) takeAsked() []admission.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	asked := a.asked
	a.asked = nil
	return asked
}

// newAdmittingGateway returns a gateway whose service s is an engine if hasEngine is set.
func newAdmittingGateway(t *testing.T, hasEngine bool, upstream http.HandlerFunc) (*testGateway, *fakeAdmission) {
	t.Helper()
	a := &fakeAdmission{}
	fleet := &testFleet{admission: a}
	if hasEngine {
		fleet.engine = &route.Engine{Slots: 8, TokensPerEvent: 1}
	}
	return newTestGatewayIn(t, fleet, storelog.NewMemory(), time.Minute, upstream), a
}

// turnPaths are those of routes that store turns and that store none.
var turnPaths = []string{"/chat/1", "/draft/1"}

// TestRefusedProgramReservesNoBudget guards against a refused program that cannot begin later because
// the turn that did not run still counts against its budget.
func TestRefusedProgramReservesNoBudget(t *testing.T) {
	for _, path := range turnPaths {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var seen []string
			gw, a := newAdmittingGateway(t, true, engine(&seen))
			a.setRefusing(true)
			// The budget allows one turn of ten tokens.
			first := []string{"Id", "t1", "Key", "k", "Program", "p", "Budget", "10", "Time-Left", "1000"}
			refused := gw.call(t, "POST", path, "in", first...)
			is.Equal(refused.status, http.StatusServiceUnavailable)
			is.Equal(refused.header.Get("Retry-After"), "0.050")
			is.Equal(len(seen), 0)
			time.Sleep(50 * time.Millisecond)
			a.setRefusing(false)
			again := gw.call(t, "POST", path, "in", "Id", "t2", "Key", "k", "Program", "p", "Budget", "10", "Time-Left", "900")
			is.Equal(again.status, http.StatusOK)
			is.Equal(len(seen), 1)
			asked := a.takeAsked()
			is.Equal(len(asked), 2) // also when it returned
			is.Equal(asked[0].Program, asked[1].Program)
		})
	}
}

// TestRefusedProgramIsRefunded guards against an account that is refused within its rate because
// programs of it found no place.
func TestRefusedProgramIsRefunded(t *testing.T) {
	for _, path := range turnPaths {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var seen []string
			gw, a := newAdmittingGateway(t, true, engine(&seen))
			a.setRefusing(true)
			time.Sleep(500 * time.Millisecond) // a bucket without history has refilled to one request by now
			for n := range 20 {                // more than the rate and burst of one window
				id := strconv.Itoa(n)
				reply := gw.call(t, "POST", path, "x", "Id", "t"+id, "Key", "ks", "Program", "p"+id, "Budget", "100", "Time-Left", "1000")
				is.Equal(reply.status, http.StatusServiceUnavailable)
			}
			a.setRefusing(false)
			is.Equal(gw.call(t, "POST", path, "x", "Id", "a", "Key", "ks", "Program", "p", "Budget", "100", "Time-Left", "1000").status, http.StatusOK)
			is.Equal(len(seen), 1)
		})
	}
}

// TestFirstTurnIsRecognised guards against a running program that is refused at a later turn, and
// against one that begins without a decision.
func TestFirstTurnIsRecognised(t *testing.T) {
	for _, path := range turnPaths {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var seen []string
			gw, a := newAdmittingGateway(t, true, engine(&seen))
			turn := func(program, id, previous string) int {
				fields := []string{"Id", id, "Key", "k", "Program", program, "Budget", "100", "Time-Left", "1000"}
				if previous != "" && path == "/chat/1" {
					fields = append(fields, "Previous", previous)
				}
				return gw.call(t, "POST", path, "x", fields...).status
			}
			is.Equal(turn("p", "t1", ""), http.StatusOK)
			asked := a.takeAsked()
			is.Equal(len(asked), 1)
			is.Equal(asked[0].Service, "s")
			is.Equal(asked[0].Program, admission.ProgramKey("acme", "p"))
			is.True(asked[0].TimeLeft > 0 && asked[0].TimeLeft <= time.Second)
			a.setRefusing(true)
			is.Equal(turn("p", "t2", "t1"), http.StatusOK)
			is.Equal(turn("p", "t3", ""), http.StatusOK) // of a sub-agent
			is.Equal(len(a.takeAsked()), 0)
			is.Equal(turn("q", "u1", ""), http.StatusServiceUnavailable)
			is.Equal(len(a.takeAsked()), 1)
		})
	}
}

// TestStreamingTurnWithoutBudgetIsAsked guards against programs that begin without a decision because
// they have no token budget on a route that stores no turns.
func TestStreamingTurnWithoutBudgetIsAsked(t *testing.T) {
	is := is.New(t)
	var seen []string
	gw, a := newAdmittingGateway(t, true, engine(&seen))
	a.setRefusing(true)
	reply := gw.call(t, "POST", "/draft/1", "x", "Id", "t1", "Key", "k", "Program", "p", "Time-Left", "1000")
	is.Equal(reply.status, http.StatusServiceUnavailable)
}

// TestAdmissionOnlyWhereEnabled guards against refusals of programs in deployments without engines, of
// callers that give no time, and of requests that are no turns.
func TestAdmissionOnlyWhereEnabled(t *testing.T) {
	for _, c := range []struct {
		name      string
		hasEngine bool
		path      string
		fields    []string
	}{
		{"no time", true, "/chat/1", []string{"Program", "p", "Budget", "100"}},
		{"no time, no stored turns", true, "/draft/1", []string{"Program", "p", "Budget", "100"}},
		{"no engine", false, "/chat/1", []string{"Program", "p", "Budget", "100", "Time-Left", "1000"}},
		{"no engine, no stored turns", false, "/draft/1", []string{"Program", "p", "Budget", "100", "Time-Left", "1000"}},
		{"no program", true, "/chat/1", []string{"Time-Left", "1000"}},
		{"no turn", true, "/unsafe/1", []string{"Program", "p", "Time-Left", "1000"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var seen []string
			gw, a := newAdmittingGateway(t, c.hasEngine, engine(&seen))
			a.setRefusing(true)
			is.Equal(gw.call(t, "POST", c.path, "x", append(c.fields, "Id", "t1", "Key", "k")...).status, http.StatusOK)
			is.Equal(len(a.takeAsked()), 0)
		})
	}
}

// TestPriorityOnlyForTimedTurns guards against an engine that sorts by a value which the system did not
// set.
func TestPriorityOnlyForTimedTurns(t *testing.T) {
	for _, c := range []struct {
		name      string
		hasEngine bool
		path      string
		fields    []string
		want      bool
	}{
		{"timed turn", true, "/chat/1", []string{"Program", "p", "Time-Left", "1000"}, true},
		{"timed turn, no stored turns", true, "/draft/1", []string{"Program", "p", "Budget", "100", "Time-Left", "1000"}, true},
		{"late turn", true, "/draft/1", []string{"Program", "p", "Budget", "100", "Time-Left", "-1"}, true},
		{"no time", true, "/draft/1", []string{"Program", "p", "Budget", "100"}, false},
		{"no engine", false, "/draft/1", []string{"Program", "p", "Budget", "100", "Time-Left", "1000"}, false},
		{"no turn", true, "/unsafe/1", []string{"Program", "p", "Time-Left", "1000"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			runs := 0
			gw, _ := newAdmittingGateway(t, c.hasEngine, func(w http.ResponseWriter, r *http.Request) {
				runs++
				got = r.Header.Values("Turn-Priority")
				signed(w, r)
			})
			gw.call(t, "POST", c.path, "x", append(c.fields, "Id", "t1", "Key", "k")...)
			is.Equal(runs, 1)
			is.Equal(len(got) == 1, c.want)
			if c.want {
				n, err := strconv.Atoi(got[0])
				is.NoErr(err)
				is.True(n >= 0 && n <= 9)
			}
		})
	}
}

// TestRefusedRateWritesNothing guards against a caller above its rate whose refused turns cost a write
// to the store each, in deployments that do not admit programs.
func TestRefusedRateWritesNothing(t *testing.T) {
	is := is.New(t)
	var seen []string
	gw, _ := newAdmittingGateway(t, false, engine(&seen))
	var appends int
	var mu sync.Mutex
	gw.log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
		mu.Lock()
		defer mu.Unlock()
		if call == "append" {
			appends++
		}
		return nil, false
	})
	refused := 0
	for n := range 20 {
		id := strconv.Itoa(n)
		mu.Lock()
		before := appends
		mu.Unlock()
		reply := gw.call(t, "POST", "/draft/1", "x", "Id", "t"+id, "Key", "ks", "Program", "p"+id, "Budget", "100")
		if reply.status != http.StatusTooManyRequests {
			time.Sleep(50 * time.Millisecond) // the turn is settled
			continue
		}
		refused++
		mu.Lock()
		is.Equal(appends, before)
		mu.Unlock()
	}
	is.True(refused > 0)
}
