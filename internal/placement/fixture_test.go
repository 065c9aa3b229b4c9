package placement_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/placement"
	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/hostlist"
	"cowslipgw/internal/standin/weights"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

const (
	listIP    = "10.1.0.2"
	weightsIP = "10.1.0.3"
	rate      = 8 << 20
	size      = 16 << 20 // 2 s at rate
	// takeoverDelay is the documented time in which a new planner sends no orders.
	takeoverDelay = 12 * time.Second
)

// testPool is a pool "llm" with engines that load their models from a weight store.
type testPool struct {
	t       *testing.T
	network *transport.Memory
	list    *hostlist.Server
	store   *weights.Store
	engines []*engine.Engine
	servers []*standin.Server
	ctx     context.Context

	mu     sync.Mutex
	demand map[string]placement.Demand
}

// runPool runs a test against a pool with one engine for each of the given models.
func runPool(t *testing.T, checksFence bool, test func(pool *testPool), models ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		pool := &testPool{t: t, ctx: ctx, network: transport.NewMemory(), list: hostlist.New(0)}
		pool.store = weights.New(weights.Settings{BytesPerSecond: rate, Models: map[string]int64{"a": size, "b": size, "c": size}})
		pool.serve(listIP, pool.list)
		pool.serve(weightsIP, pool.store)
		for i, model := range models {
			ip, id := fmt.Sprintf("10.2.0.%d", i+1), fmt.Sprintf("r%d", i)
			e := engine.New(engine.Settings{
				ID: id, Models: []string{model}, Slots: 4, ChecksFence: checksFence,
				Weights: weightsIP + ":80", Network: pool.network.Host(ip),
			})
			pool.engines = append(pool.engines, e)
			pool.serve(ip, e)
			pool.list.Put(hostlist.Replica{Pool: "llm", ID: id, Address: ip + ":80", Domain: "d", State: "live", Kind: "engine", ChecksFence: checksFence})
		}
		test(pool)
		cancel()
		for _, e := range pool.engines {
			e.Close()
		}
		for _, s := range pool.servers {
			_ = s.Close()
		}
		time.Sleep(time.Minute)
	})
}

func (pool *testPool) serve(ip string, handler http.Handler) {
	pool.t.Helper()
	server, err := standin.Listen(pool.ctx, pool.network.Host(ip), ip+":80", handler)
	if err != nil {
		pool.t.Fatal(err)
	}
	pool.servers = append(pool.servers, server)
}

// Demand implements placement.DemandSource.
func (pool *testPool) Demand(structs.PoolName) map[string]placement.Demand {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.demand
}

func (pool *testPool) setDemand(demand map[string]placement.Demand) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.demand = demand
}

// Current implements placement.ListSource.
func (pool *testPool) Current() *lists.Lists {
	l := &lists.Lists{Models: make(map[string]lists.Model)}
	for _, name := range []string{"a", "b", "c"} {
		l.Models[name] = lists.Model{Name: name, Pool: "llm"}
	}
	return l
}

// testPlanner is a host that considers itself the pool's planner, by its own view.
type testPlanner struct {
	*testPool
	client         *upstream.Client
	ignoreDeadline bool
	runner         *placement.Runner

	mu     sync.Mutex
	view   structs.ViewNumber
	self   bool
	paused chan struct{}
	errs   []error
}

// startPlanner starts a host.
func (pool *testPool) startPlanner(ip string, view structs.ViewNumber) *testPlanner {
	p := &testPlanner{testPool: pool, view: view, self: true}
	p.client = upstream.NewClient(upstream.ClientOptions{
		Network: pool.network.Host(ip), FirstByteTimeout: time.Second, AnswerTimeout: time.Minute, StreamIdleTimeout: time.Second, AnswerLimit: 1 << 20,
	})
	directory := upstream.NewDirectory(upstream.DirectoryOptions{Client: p.client, HostList: listIP + ":80"})
	go directory.Run(pool.ctx)
	p.runner = placement.NewRunner(placement.Options{
		Owner: p, Directory: directory, Demands: pool, Orders: p, Lists: pool, Logger: event.Discard(),
		Settings: placement.Settings{WeightRate: rate, ModelBytes: size, ModelsPerReplica: 1},
	})
	go p.runner.Run(pool.ctx)
	return p
}

// Plans implements placement.Owner.
func (p *testPlanner) Plans(structs.PoolName) (structs.ViewNumber, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view, p.self
}

// Order implements placement.OrderSender. A paused host sends when it resumes. With
// ignoreDeadline it sends even after the order's deadline, as if it had been paused
// in the middle of the write.
func (p *testPlanner) Order(ctx context.Context, address string, order upstream.Order) error {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
	if p.ignoreDeadline {
		ctx = p.ctx
	}
	err := p.client.Order(ctx, address, order)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errs = append(p.errs, err)
	return err
}

// pause makes the host stop just before it sends, and returns a function that
// resumes it.
func (p *testPlanner) pause() (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := make(chan struct{})
	p.paused = paused
	return func() {
		p.mu.Lock()
		p.paused = nil
		p.mu.Unlock()
		close(paused)
	}
}

func (p *testPlanner) orderErrors() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.errs)
}

// orderedModels returns the models of the orders that replica i has accepted.
func (pool *testPool) orderedModels(i int) []string {
	models := []string{}
	for _, order := range pool.engines[i].Orders() {
		models = append(models, order.Model)
	}
	return models
}

// orderCount returns the number of orders accepted by all replicas.
func (pool *testPool) orderCount() int {
	count := 0
	for i := range pool.engines {
		count += len(pool.orderedModels(i))
	}
	return count
}
