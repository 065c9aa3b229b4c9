package entry

import (
	"context"
	"errors"
	"sync"

	"cowslipgw/internal/event"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

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

// Run ends the requests of withdrawn keys until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		changed := s.options.Lists.Changed()
		if ended := s.registry.withdraw(s.options.Lists.Current()); ended > 0 {
			s.options.Logger.Log(event.KeyWithdrawnInUse, event.Fields{"requests": ended})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
