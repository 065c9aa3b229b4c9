package upstream

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
)

// Defaults of a Directory. A leaving replica must receive no new work after 3 s, so the
// polling interval plus its timeout must stay below that.
const (
	defaultPollInterval     = time.Second
	defaultLoadPollInterval = 500 * time.Millisecond
	pollTimeout             = 1500 * time.Millisecond
	loadWorkers             = 32
)

// DirectoryOptions configures a Directory.
type DirectoryOptions struct {
	Client *Client
	// HostList is the "ip:port" address of the host list service.
	HostList string
	// PollInterval and LoadPollInterval are the intervals at which the host list and the
	// load reports are polled; 0 selects the defaults.
	PollInterval, LoadPollInterval time.Duration
	// WantLoad reports whether the load of a pool's replicas is polled; nil polls all
	// pools.
	WantLoad func(structs.PoolName) bool
	Logger   *event.Logger
}

// LoadState is the last load report of a replica and the status of polling it.
type LoadState struct {
	// Load is the report. Its field At is the time at which this host sent the request.
	Load Load
	// Reported is false until the first report arrives.
	Reported bool
	// Failures is the number of failed polls since the last report.
	Failures int
}

// Directory polls the host list and the load reports of the replicas. While the host
// list is unavailable, it continues to serve the last list.
type Directory struct {
	options DirectoryOptions
	// entryFaults describes the invalid entries of the last list. Only the goroutine
	// that polls the list accesses it.
	entryFaults map[structs.ReplicaID]string

	mu       sync.RWMutex
	replicas map[structs.ReplicaID]Replica
	loads    map[structs.ReplicaID]LoadState
	pools    map[structs.PoolName][]Replica
	loaded   bool
	listDown bool
	changed  chan struct{}
}

// NewDirectory returns an empty directory. Run fills it.
func NewDirectory(options DirectoryOptions) *Directory {
	if options.PollInterval == 0 {
		options.PollInterval = defaultPollInterval
	}
	if options.LoadPollInterval == 0 {
		options.LoadPollInterval = defaultLoadPollInterval
	}
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	return &Directory{
		options:  options,
		replicas: make(map[structs.ReplicaID]Replica),
		loads:    make(map[structs.ReplicaID]LoadState),
		pools:    make(map[structs.PoolName][]Replica),
		changed:  make(chan struct{}),
	}
}

// Run polls until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runPeriodically(ctx, d.options.PollInterval, d.pollHostList) })
	group.Go(func() error { return runPeriodically(ctx, d.options.LoadPollInterval, d.pollLoads) })
	return group.Wait()
}

// runPeriodically calls f immediately and then once per interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Ready reports whether the host list was read at least once.
func (d *Directory) Ready() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.loaded
}

// Changed returns a channel that is closed when replicas change or load reports were
// polled.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// Pools returns the names of the pools in the host list, sorted.
func (d *Directory) Pools() []structs.PoolName {
	d.mu.RLock()
	defer d.mu.RUnlock()
	names := make([]structs.PoolName, 0, len(d.pools))
	for name := range d.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Replicas returns the replicas of a pool, leaving ones included, sorted by ID. A
// replica whose own report says that it is leaving has state "leaving". The returned
// slice is shared and must not be modified.
func (d *Directory) Replicas(pool structs.PoolName) []Replica {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.pools[pool]
}

// Live returns the replicas of a pool that are not leaving, sorted by ID.
func (d *Directory) Live(pool structs.PoolName) []Replica {
	var live []Replica
	for _, replica := range d.Replicas(pool) {
		if replica.State == stateLive {
			live = append(live, replica)
		}
	}
	return live
}

// Replica returns a replica of the host list, live or leaving.
func (d *Directory) Replica(id structs.ReplicaID) (Replica, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	replica, ok := d.replicas[id]
	return replica, ok
}

// All returns all replicas of the host list, live or leaving, sorted by ID.
func (d *Directory) All() []Replica {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]Replica, 0, len(d.replicas))
	for _, replica := range d.replicas {
		all = append(all, replica)
	}
	slices.SortFunc(all, compareReplicas)
	return all
}

// Load returns the last load report of a replica, or false if there is none. Its field
// At is the time at which this host sent the request.
func (d *Directory) Load(id structs.ReplicaID) (Load, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	state := d.loads[id]
	return state.Load, state.Reported
}

// LoadState returns the last load report of a replica and the number of failed polls
// since.
func (d *Directory) LoadState(id structs.ReplicaID) LoadState {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.loads[id]
}

// compareReplicas orders replicas by ID.
func compareReplicas(a, b Replica) int {
	return strings.Compare(string(a.ID), string(b.ID))
}

// replaceList replaces the host list and discards the load reports of removed replicas.
func (d *Directory) replaceList(replicas map[structs.ReplicaID]Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replicas = replicas
	d.loaded = true
	for id := range d.loads {
		if _, listed := replicas[id]; !listed {
			delete(d.loads, id)
		}
	}
	d.rebuildLocked()
}

// rebuildLocked derives the pools from the host list and the load reports.
func (d *Directory) rebuildLocked() {
	pools := make(map[structs.PoolName][]Replica)
	for id, replica := range d.replicas {
		if d.loads[id].Load.Leaving {
			replica.State = stateLeaving
		}
		pools[replica.Pool] = append(pools[replica.Pool], replica)
	}
	for _, replicas := range pools {
		slices.SortFunc(replicas, compareReplicas)
	}
	if samePools(pools, d.pools) {
		return
	}
	d.pools = pools
	d.notifyChangeLocked()
}

// notifyChangeLocked wakes the goroutines that wait for a change.
func (d *Directory) notifyChangeLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// samePools reports whether a and b contain the same replicas.
func samePools(a, b map[structs.PoolName][]Replica) bool {
	if len(a) != len(b) {
		return false
	}
	for name, replicas := range a {
		if !slices.Equal(replicas, b[name]) {
			return false
		}
	}
	return true
}
