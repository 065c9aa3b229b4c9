package evacuation

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
)

const bound = 5 * time.Second

// testHost is a host without a network, whose clock the test sets.
type testHost struct {
	knowledge *Knowledge
	follower  *Follower
	now       boottime.Instant
	domains   map[string]int64
	storeLost bool
	// read is what a read of the store returns; nil if it fails.
	read *State
	// informants are the hosts that it reaches, of the given number of known ones.
	informants []*testHost
	known      int
	// elsewhere is set if another host says that it reaches the store.
	elsewhere bool
	asked     atomic.Int64
}

func newTestHost(t *testing.T) *testHost {
	t.Helper()
	h := &testHost{now: boottime.Now(), known: 1}
	h.knowledge = NewKnowledge(bound, func(domains, _ map[string]int64) { h.domains = domains })
	h.knowledge.now = func() boottime.Instant { return h.now }
	h.follower = NewFollower(h.knowledge, h, h, h, event.Discard())
	return h
}

func (h *testHost) pass(d time.Duration) { h.now = h.now.Add(d) }

// follow reads the state from the store.
func (h *testHost) follow(s State) { h.knowledge.LearnRead(s, h.now) }

func (h *testHost) Informants(limit int) []peers.Host {
	hosts := make([]peers.Host, min(limit, len(h.informants)))
	for n := range hosts {
		hosts[n].Incarnation = int64(n)
	}
	return hosts
}

func (h *testHost) Counts() (known, alive int)    { return h.known, len(h.informants) + 1 }
func (h *testHost) StoreReachableElsewhere() bool { return h.elsewhere }
func (h *testHost) StoreLost() bool               { return h.storeLost }

func (h *testHost) Confirm(context.Context) bool {
	if h.read == nil {
		return false
	}
	h.follow(*h.read)
	return true
}

// Call implements peers.Calls. A host that is nil does not answer.
func (h *testHost) Call(_ context.Context, to peers.Host, _ string, _, reply any) error {
	h.asked.Add(1)
	other := h.informants[to.Incarnation]
	if other == nil {
		return errors.New("no answer")
	}
	return NewService(other.knowledge, event.Discard()).Report(ReportArgs{}, reply.(*ReportReply))
}
