package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

const (
	// tick is how often pools are planned.
	tick = 500 * time.Millisecond
	// poolWorkers plan pools at the same time. A step with slow engines must not take
	// longer than continuity, so that no pool waits for another.
	poolWorkers = 64
	// orderTimeout bounds the time from the check of ownership to the end of the orders of
	// one plan.
	orderTimeout = 2 * time.Second
	// viewAge is how far behind the view of a host that plans may be (Owner.Plans).
	viewAge = 3 * time.Second
	// continuity is the longest time between two steps after which the host is still the
	// same planner. It is longer than a tick and the orders of one plan.
	continuity = 3 * time.Second
	// quietTime is how long a new planner gives no order. The one before it may still see
	// the old view for viewAge, and its orders end orderTimeout later: 5 s. A host that
	// saw itself as the planner continuity ago, by a view that was viewAge old, would miss
	// a planner in between; that one is still quiet, since it had less than continuity +
	// 2 * viewAge + orderTimeout. The last second is for the rate of clocks.
	quietTime = continuity + 2*viewAge + orderTimeout + time.Second
)

// Options set up a Runner. All fields are required.
type Options struct {
	Owner     Owner
	Directory Directory
	Demands   Demands
	Orders    Orders
	Lists     Lists
	Settings  Settings
	Logger    *event.Logger
}

// Runner plans the pools that this host owns. Only Run uses the table of pools, with
// one goroutine for each pool at a time. A mutex protects replacing; it is a leaf lock.
type Runner struct {
	options Options
	pools   map[structs.PoolName]*poolPlan

	mu        sync.Mutex
	replacing map[structs.PoolName]map[structs.ReplicaID]bool
}

// NewRunner returns a runner; Run starts it.
func NewRunner(options Options) *Runner {
	return &Runner{
		options: options, pools: make(map[structs.PoolName]*poolPlan),
		replacing: make(map[structs.PoolName]map[structs.ReplicaID]bool),
	}
}

// Replacing says whether a replica may be dropping its models for one that this host
// ordered. Its last report may name models that it has no more, so that a call for
// one of them would fail.
func (r *Runner) Replacing(id structs.ReplicaID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, replicas := range r.replacing {
		if replicas[id] {
			return true
		}
	}
	return false
}

// publisher returns how a pool tells which replicas are replacing models.
func (r *Runner) publisher(pool structs.PoolName) func(map[structs.ReplicaID]bool) {
	return func(replicas map[structs.ReplicaID]bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.replacing[pool] = replicas
	}
}

// Run plans until ctx ends. It returns at once when the weight store has no rate.
func (r *Runner) Run(ctx context.Context) {
	if r.options.Settings.WeightRate <= 0 {
		return
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step plans every pool of the lists once.
func (r *Runner) step(ctx context.Context) {
	models := modelsByPool(r.options.Lists.Current())
	for pool := range r.pools {
		if models[pool] == nil {
			delete(r.pools, pool)
			r.publisher(pool)(nil)
		}
	}
	// The pools share the weight store's rate equally. Every host has the same lists, so
	// that the planners need not talk to each other.
	rate := max(1, r.options.Settings.WeightRate/int64(max(1, len(models))))
	var group errgroup.Group
	group.SetLimit(poolWorkers)
	for pool, names := range models {
		plan := r.pools[pool]
		if plan == nil {
			plan = &poolPlan{options: r.options, pool: pool, log: r.options.Logger.With(event.Fields{"pool": pool}), publish: r.publisher(pool)}
			r.pools[pool] = plan
		}
		group.Go(func() error {
			plan.step(ctx, names, rate)
			return nil
		})
	}
	_ = group.Wait()
}

// modelsByPool returns the models of the lists in order of their names.
func modelsByPool(l *lists.Lists) map[structs.PoolName][]Model {
	models := make(map[structs.PoolName][]Model)
	for _, model := range l.Models {
		models[model.Pool] = append(models[model.Pool], Model{Name: model.Name})
	}
	for _, names := range models {
		slices.SortFunc(names, func(a, b Model) int { return compareNames(a, b) })
	}
	return models
}
