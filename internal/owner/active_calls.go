package owner

import (
	"sync"

	"cowslipgw/internal/structs"
)

// activeCalls tracks the calls and claims that this host has asked an owner to begin or
// open and has not yet settled or closed. Owners query it about calls and claims that
// stay open for a long time. It is safe for concurrent use.
type activeCalls struct {
	mu     sync.Mutex
	begun  map[structs.CallID]bool
	opened map[structs.CallID]bool
}

func newActiveCalls() *activeCalls {
	return &activeCalls{begun: make(map[structs.CallID]bool), opened: make(map[structs.CallID]bool)}
}

func (a *activeCalls) begin(call structs.CallID)  { a.set(a.begun, call, true) }
func (a *activeCalls) settle(call structs.CallID) { a.set(a.begun, call, false) }
func (a *activeCalls) open(call structs.CallID)   { a.set(a.opened, call, true) }
func (a *activeCalls) close(call structs.CallID)  { a.set(a.opened, call, false) }

func (a *activeCalls) set(calls map[structs.CallID]bool, call structs.CallID, active bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if active {
		calls[call] = true
		return
	}
	delete(calls, call)
}

// notActive returns the calls and claims in question that this host does not run.
func (a *activeCalls) notActive(question ActiveQuestion) ActiveAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return ActiveAnswer{
		NotBegun:  filterInactive(a.begun, question.Begun),
		NotOpened: filterInactive(a.opened, question.Opened),
	}
}

// filterInactive returns the calls that are not in active.
func filterInactive(active map[structs.CallID]bool, calls []structs.CallID) []structs.CallID {
	var inactive []structs.CallID
	for _, call := range calls {
		if !active[call] {
			inactive = append(inactive, call)
		}
	}
	return inactive
}

// ActiveQuestion asks a host whether it still runs the listed calls and claims.
type ActiveQuestion struct {
	Begun, Opened []structs.CallID
}

// ActiveAnswer lists the calls and claims of an ActiveQuestion that the host does not
// run.
type ActiveAnswer struct {
	NotBegun, NotOpened []structs.CallID
}
