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

// Fleet is an in-process fleet of hosts on an in-memory network and log.
type Fleet struct {
	Log     *Log
	Network *transport.Memory
	// Hosts holds the hosts by index. Restart replaces elements of it; Live may be called
	// concurrently with Restart.
	Hosts []*Host
	// Domains is the number of failure domains.
	Domains   int
	Retention time.Duration
	// Prepare is called to add services to a host before it runs.
	Prepare func(ctx context.Context, h *Host)

	mu      sync.Mutex
	evicted map[structs.HostID]int
	started int
}

// New returns a fleet without hosts. Its hosts are killed at the end of the test.
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

// IDOf returns the ID of the host with the given index.
func IDOf(index int) structs.HostID { return structs.HostID(fmt.Sprintf("h%03d", index)) }

// DomainOf returns the failure domain of the host with the given index.
func DomainOf(index, domains int) structs.Domain {
	return structs.Domain(fmt.Sprintf("d%d", index%domains))
}

// Start adds count hosts and waits until all hosts are in each other's view.
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

// Restart replaces the host with the given index by a new process with the same ID and a
// new address. It does not stop the old process.
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

// Await waits until every live host has joined and sees a view of count hosts. It fails
// the test after limit.
func (f *Fleet) Await(t testing.TB, limit time.Duration, count int) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		mismatch := f.viewMismatch(count)
		if mismatch == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("after %v: %s", limit, mismatch)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// viewMismatch describes a live host that has not joined or whose view does not have
// count hosts. It returns "" if there is none.
func (f *Fleet) viewMismatch(count int) string {
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

// Evicted returns how often the OnEvicted callback of the host was called.
func (f *Fleet) Evicted(id structs.HostID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evicted[id]
}

func (f *Fleet) recordEviction(id structs.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evicted[id]++
}
