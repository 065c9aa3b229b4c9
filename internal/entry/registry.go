package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// notCurrentCheck is how often Run looks whether the host is current.
const notCurrentCheck = 250 * time.Millisecond

// errNotCurrent is the cause that ends a caller's context when the host no longer knows
// whether the caller's key is withdrawn.
var errNotCurrent = errors.New("the host does not know whether its lists are current")

// errKeyWithdrawn is the cause that ends a caller's context when its key is
// withdrawn.
var errKeyWithdrawn = errors.New("the key was withdrawn")

// registry holds the requests that run under a key.
type registry struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]registered
}

// registered is one request under a key.
type registered struct {
	hash    lists.KeyHash
	account structs.AccountID
	cancel  context.CancelCauseFunc
}

func newRegistry() *registry {
	return &registry{open: make(map[uint64]registered)}
}

// add enters a request and returns the function that removes it.
func (r *registry) add(entry registered) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	id := r.next
	r.open[id] = entry
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, id)
	}
}

// withdraw ends the requests whose key no longer belongs to their account and
// returns how many.
func (r *registry) withdraw(current *lists.Lists) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := 0
	for _, entry := range r.open {
		if id, ok := current.AccountByKey(entry.hash); ok && id == entry.account {
			continue
		}
		entry.cancel(errKeyWithdrawn)
		ended++
	}
	return ended
}

// endAll ends all requests under a key and returns how many.
func (r *registry) endAll(cause error) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.open {
		entry.cancel(cause)
	}
	return len(r.open)
}

// Run ends the requests of withdrawn keys until ctx ends. On a host that is not current
// it ends those of all keys, since any of them may be withdrawn.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(notCurrentCheck)
	defer ticker.Stop()
	for {
		changed := s.options.Lists.Changed()
		if ended := s.registry.withdraw(s.options.Lists.Current()); ended > 0 {
			s.options.Logger.Log(event.KeyWithdrawnInUse, event.Fields{"requests": ended})
		}
		if !s.options.Freshness.Current() {
			if ended := s.registry.endAll(errNotCurrent); ended > 0 {
				s.options.Logger.Log(event.EndedNotCurrent, event.Fields{"requests": ended})
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}
