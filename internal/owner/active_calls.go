package owner

import (
	"sync"

	"cowslipgw/internal/structs"
)

// activeCalls are the calls and claims that this host has asked an owner to begin or
// open and has not settled. Owners ask for them when one stays open for long. It is
// safe for concurrent use.
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

// missing returns the calls and claims that this host does not run.
func (a *activeCalls) missing(question ActiveQuestion) ActiveAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return ActiveAnswer{
		NotBegun:  absent(a.begun, question.Begun),
		NotOpened: absent(a.opened, question.Opened),
	}
}

func absent(active map[structs.CallID]bool, asked []structs.CallID) []structs.CallID {
	var missing []structs.CallID
	for _, call := range asked {
		if !active[call] {
			missing = append(missing, call)
		}
	}
	return missing
}

// ActiveQuestion asks a host whether it still runs calls.
type ActiveQuestion struct {
	Begun, Opened []structs.CallID
}

// ActiveAnswer lists the calls that the host does not run.
type ActiveAnswer struct {
	NotBegun, NotOpened []structs.CallID
}
