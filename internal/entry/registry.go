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

// freshnessCheckInterval is how often Run checks whether the host's lists are current.
const freshnessCheckInterval = 250 * time.Millisecond

// errNotCurrent is the cancellation cause of requests on a host that can no longer tell
// whether keys have been withdrawn.
var errNotCurrent = errors.New("this host's lists may be out of date")

// errKeyWithdrawn is the cancellation cause of requests whose key has been withdrawn.
var errKeyWithdrawn = errors.New("the key was withdrawn")

// registry holds the requests in progress that were authenticated with a key.
type registry struct {
	mu       sync.Mutex
	next     uint64
	requests map[uint64]keyedRequest
}

// keyedRequest is one request in progress that was authenticated with a key.
type keyedRequest struct {
	hash    lists.KeyHash
	account structs.AccountID
	cancel  context.CancelCauseFunc
}

func newRegistry() *registry {
	return &registry{requests: make(map[uint64]keyedRequest)}
}

// add registers a request and returns the function that removes it.
func (r *registry) add(entry keyedRequest) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	id := r.next
	r.requests[id] = entry
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.requests, id)
	}
}

// cancelWithdrawn cancels the requests whose key no longer belongs to their account and
// returns their number.
func (r *registry) cancelWithdrawn(current *lists.Lists) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := 0
	for _, entry := range r.requests {
		if id, ok := current.AccountByKey(entry.hash); ok && id == entry.account {
			continue
		}
		entry.cancel(errKeyWithdrawn)
		ended++
	}
	return ended
}

// cancelAll cancels all registered requests and returns their number.
func (r *registry) cancelAll(cause error) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.requests {
		entry.cancel(cause)
	}
	return len(r.requests)
}

// Run cancels the requests of withdrawn keys until ctx ends. On a host whose lists are
// not current it cancels the requests of all keys, since any of them may have been
// withdrawn.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(freshnessCheckInterval)
	defer ticker.Stop()
	for {
		changed := s.options.Lists.Changed()
		if ended := s.registry.cancelWithdrawn(s.options.Lists.Current()); ended > 0 {
			s.options.Logger.Log(event.RequestsEndedKeyWithdrawn, event.Fields{"requests": ended})
		}
		if !s.options.Freshness.Current() {
			if ended := s.registry.cancelAll(errNotCurrent); ended > 0 {
				s.options.Logger.Log(event.RequestsEndedListsStale, event.Fields{"requests": ended})
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
