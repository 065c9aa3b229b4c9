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
	// planInterval is the interval between planning steps.
	planInterval = 500 * time.Millisecond
	// poolWorkers is the number of pools planned concurrently. A step with slow
	// engines must not take longer than maxStepGap, so it must not have to wait for
	// other pools.
	poolWorkers = 64
	// orderTimeout bounds the time from the ownership check to the end of the last
	// order of one plan.
	orderTimeout = 2 * time.Second
	// maxViewAge is how far behind the view of a planning host may be. See
	// Owner.Plans.
	maxViewAge = 3 * time.Second
	// maxStepGap is the maximum time between two steps for the host to count as the
	// same planner. It is longer than planInterval plus the time to send the orders
	// of one plan.
	maxStepGap = 3 * time.Second
	// takeoverDelay is how long a new planner sends no orders. The previous planner
	// may still see the old view for maxViewAge, and its orders end orderTimeout
	// later, 5 s in total. In addition, a host that was the planner maxStepGap ago,
	// by a view that was maxViewAge old, does not notice that another host was the
	// planner in between. That other planner had less than maxStepGap + 2 *
	// maxViewAge + orderTimeout, so with this delay it has not sent anything yet.
	// The last second allows for differences in clock rates.
	takeoverDelay = maxStepGap + 2*maxViewAge + orderTimeout + time.Second
)

// Options configures a Runner. All fields are required.
type Options struct {
	Owner     Owner
	Directory Directory
	Demands   DemandSource
	Orders    OrderSender
	Lists     ListSource
	Settings  Settings
	Logger    *event.Logger
}

// Runner plans the pools that this host owns. Only Run uses the table of pools, with
// at most one goroutine per pool at a time. A mutex protects replacing; it is a leaf
// lock.
type Runner struct {
	options Options
	pools   map[structs.PoolName]*poolPlanner

	mu        sync.Mutex
	replacing map[structs.PoolName]map[structs.ReplicaID]bool
}

// NewRunner returns a runner. Run starts it.
func NewRunner(options Options) *Runner {
	return &Runner{
		options: options, pools: make(map[structs.PoolName]*poolPlanner),
		replacing: make(map[structs.PoolName]map[structs.ReplicaID]bool),
	}
}

// Replacing reports whether a replica may be dropping models to load one that this
// host ordered. Its last load report may still list dropped models, and a call for
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

// publisher returns the function with which a pool publishes the replicas that are
// replacing models.
func (r *Runner) publisher(pool structs.PoolName) func(map[structs.ReplicaID]bool) {
	return func(replicas map[structs.ReplicaID]bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.replacing[pool] = replicas
	}
}

// Run plans until ctx is done. It returns immediately if the weight store has no
// rate.
func (r *Runner) Run(ctx context.Context) {
	if r.options.Settings.WeightRate <= 0 {
		return
	}
	ticker := time.NewTicker(planInterval)
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

// step runs one planning step for every pool in the lists.
func (r *Runner) step(ctx context.Context) {
	models := modelsByPool(r.options.Lists.Current())
	for pool := range r.pools {
		if models[pool] == nil {
			delete(r.pools, pool)
			r.publisher(pool)(nil)
		}
	}
	// The pools share the weight store's rate equally. All hosts have the same
	// lists, so the planners need no coordination.
	rate := max(1, r.options.Settings.WeightRate/int64(max(1, len(models))))
	var group errgroup.Group
	group.SetLimit(poolWorkers)
	for pool, names := range models {
		planner := r.pools[pool]
		if planner == nil {
			planner = &poolPlanner{options: r.options, pool: pool, log: r.options.Logger.With(event.Fields{"pool": pool}), publishReplacing: r.publisher(pool)}
			r.pools[pool] = planner
		}
		group.Go(func() error {
			planner.step(ctx, names, rate)
			return nil
		})
	}
	_ = group.Wait()
}

// modelsByPool returns the models in the lists by pool, sorted by name.
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
