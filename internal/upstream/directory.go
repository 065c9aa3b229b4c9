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

// Defaults of a Directory. A leaving replica must receive no new work after 3 s,
// so polling and its timeout together stay below that.
const (
	defaultPoll     = time.Second
	defaultLoadPoll = 500 * time.Millisecond
	pollTimeout     = 1500 * time.Millisecond
	loadWorkers     = 32
)

// DirectoryOptions set up a Directory.
type DirectoryOptions struct {
	Client *Client
	// HostList is the "ip:port" address of the host list.
	HostList string
	// Poll and LoadPoll are the intervals; 0 takes the default.
	Poll, LoadPoll time.Duration
	// WantLoad says which pools' load is polled; nil polls all.
	WantLoad func(structs.PoolName) bool
	Logger   *event.Logger
}

// LoadState is the last load report of a replica.
type LoadState struct {
	// Load is the report. Its field At is when this host asked for it.
	Load Load
	// Reported is false until the first report.
	Reported bool
	// Failures counts the polls that failed since then.
	Failures int
}

// Directory follows the host list and the replicas' load reports. It keeps
// serving the last list while the host list does not answer.
type Directory struct {
	options DirectoryOptions
	// faults are those of the last list; only the list's poller uses them.
	faults map[structs.ReplicaID]string

	mu       sync.RWMutex
	replicas map[structs.ReplicaID]Replica
	loads    map[structs.ReplicaID]LoadState
	pools    map[structs.PoolName][]Replica
	read     bool
	down     bool
	changed  chan struct{}
}

// NewDirectory returns an empty directory; Run fills it.
func NewDirectory(options DirectoryOptions) *Directory {
	if options.Poll == 0 {
		options.Poll = defaultPoll
	}
	if options.LoadPoll == 0 {
		options.LoadPoll = defaultLoadPoll
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
	group.Go(func() error { return repeat(ctx, d.options.Poll, d.pollList) })
	group.Go(func() error { return repeat(ctx, d.options.LoadPoll, d.pollLoads) })
	return group.Wait()
}

// repeat runs f at once and then at each interval until ctx ends.
func repeat(ctx context.Context, interval time.Duration, f func(context.Context)) error {
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

// Ready says whether the host list was read at least once.
func (d *Directory) Ready() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.read
}

// Changed returns a channel that is closed when replicas or reports have changed.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// Pools returns the names of the pools of the host list, in order.
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

// Replicas returns the replicas of a pool in order of their IDs, the leaving ones
// included. A replica that reports itself that it leaves has state "leaving". The
// slice is shared and must not be changed.
func (d *Directory) Replicas(pool structs.PoolName) []Replica {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.pools[pool]
}

// Live returns the replicas of a pool that are not leaving, in order of their IDs.
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

// All returns the replicas of the host list, live or leaving, in order of their IDs.
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

// Load returns the last load report of a replica; false if there is none. Its field
// At is when this host asked for it.
func (d *Directory) Load(id structs.ReplicaID) (Load, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	state := d.loads[id]
	return state.Load, state.Reported
}

// LoadState returns what is known of a replica's load, with the failed polls.
func (d *Directory) LoadState(id structs.ReplicaID) LoadState {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.loads[id]
}

func compareReplicas(a, b Replica) int {
	return strings.Compare(string(a.ID), string(b.ID))
}

// install replaces the list.
func (d *Directory) install(replicas map[structs.ReplicaID]Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replicas = replicas
	d.read = true
	for id := range d.loads {
		if _, listed := replicas[id]; !listed {
			delete(d.loads, id)
		}
	}
	d.rebuildLocked()
}

// rebuildLocked derives the pools from the list and the load reports.
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
	d.notifyLocked()
}

// notifyLocked wakes those that wait for a change.
func (d *Directory) notifyLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

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
