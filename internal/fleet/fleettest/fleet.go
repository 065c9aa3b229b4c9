package fleettest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
)

// Fleet is a fleet of members in one process.
type Fleet struct {
	Log     *Log
	Network *transport.Memory
	// Hosts are replaced by Restart. Live is safe to call meanwhile.
	Hosts []*Host
	// Domains is the number of failure domains.
	Domains   int
	Retention time.Duration
	// Prepare adds services to a host before it runs.
	Prepare func(ctx context.Context, h *Host)

	mu      sync.Mutex
	evicted map[structs.HostID]int
	started int
}

// New returns a fleet without hosts. They are killed when the test ends.
func New(t testing.TB) *Fleet {
	f := &Fleet{
		Log:     NewLog(),
		Network: transport.NewMemory(),
		Domains: 3,
		evicted: make(map[structs.HostID]int),
	}
	t.Cleanup(func() {
		for _, h := range f.Hosts {
			h.Kill()
		}
	})
	return f
}

// IDOf is the ID of the host with the given index.
func IDOf(index int) structs.HostID { return structs.HostID(fmt.Sprintf("h%03d", index)) }

// DomainOf is the failure domain of the host with the given index.
func DomainOf(index, domains int) structs.Domain {
	return structs.Domain(fmt.Sprintf("d%d", index%domains))
}

// Start adds count hosts and waits until they are in the view of all.
func (f *Fleet) Start(t testing.TB, count int) {
	t.Helper()
	for range count {
		h := f.start(t, len(f.Hosts))
		f.mu.Lock()
		f.Hosts = append(f.Hosts, h)
		f.mu.Unlock()
	}
	f.Await(t, 10*time.Second, len(f.Hosts))
}

// Restart replaces a killed host by a new process with the same ID and a new
// address.
func (f *Fleet) Restart(t testing.TB, index int) {
	t.Helper()
	h := f.start(t, index)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Hosts[index] = h
}

func (f *Fleet) start(t testing.TB, index int) *Host {
	t.Helper()
	f.started++
	ip := fmt.Sprintf("10.0.%d.%d", f.started/250, f.started%250+1)
	return startHost(t, f, index, ip)
}

// Await waits until every live host sees a view of count hosts.
func (f *Fleet) Await(t testing.TB, limit time.Duration, count int) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		worst := f.disagreement(count)
		if worst == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("after %v: %s", limit, worst)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *Fleet) disagreement(count int) string {
	for _, h := range f.Live() {
		if view := h.Member.View(); len(view.Hosts) != count || h.Member.Incarnation() == 0 {
			return fmt.Sprintf("%s sees %d hosts instead of %d (incarnation %d)", h.ID, len(view.Hosts), count, h.Member.Incarnation())
		}
	}
	return ""
}

// Live returns the hosts that were not killed.
func (f *Fleet) Live() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*Host
	for _, h := range f.Hosts {
		if !h.dead {
			live = append(live, h)
		}
	}
	return live
}

// Evicted is how often the host found itself evicted.
func (f *Fleet) Evicted(id structs.HostID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evicted[id]
}

func (f *Fleet) noteEvicted(id structs.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evicted[id]++
}
