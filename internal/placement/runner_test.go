package placement_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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
	// quiet is the stated time in which a new planner gives no order.
	quiet = 12 * time.Second
)

// world is a pool "llm" with engines that load from a weight store.
type world struct {
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

// run runs a test against a pool with engines that have the models given.
func run(t *testing.T, checksFence bool, test func(w *world), models ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{t: t, ctx: ctx, network: transport.NewMemory(), list: hostlist.New(0)}
		w.store = weights.New(weights.Settings{BytesPerSecond: rate, Models: map[string]int64{"a": size, "b": size, "c": size}})
		w.serve(listIP, w.list)
		w.serve(weightsIP, w.store)
		for i, model := range models {
			ip, id := fmt.Sprintf("10.2.0.%d", i+1), fmt.Sprintf("r%d", i)
			e := engine.New(engine.Settings{
				ID: id, Models: []string{model}, Slots: 4, ChecksFence: checksFence,
				Weights: weightsIP + ":80", Network: w.network.Host(ip),
			})
			w.engines = append(w.engines, e)
			w.serve(ip, e)
			w.list.Put(hostlist.Replica{Pool: "llm", ID: id, Address: ip + ":80", Domain: "d", State: "live", Kind: "engine", ChecksFence: checksFence})
		}
		test(w)
		cancel()
		for _, e := range w.engines {
			e.Close()
		}
		for _, s := range w.servers {
			_ = s.Close()
		}
		time.Sleep(time.Minute)
	})
}

func (w *world) serve(ip string, handler http.Handler) {
	w.t.Helper()
	server, err := standin.Listen(w.ctx, w.network.Host(ip), ip+":80", handler)
	if err != nil {
		w.t.Fatal(err)
	}
	w.servers = append(w.servers, server)
}

// Demand implements placement.Demands.
func (w *world) Demand(structs.PoolName) map[string]placement.Demand {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.demand
}

func (w *world) want(demand map[string]placement.Demand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.demand = demand
}

// Current implements placement.Lists.
func (w *world) Current() *lists.Lists {
	l := &lists.Lists{Models: make(map[string]lists.Model)}
	for _, name := range []string{"a", "b", "c"} {
		l.Models[name] = lists.Model{Name: name, Pool: "llm"}
	}
	return l
}

// planner is one host. It believes to plan the pool by its view.
type planner struct {
	*world
	client *upstream.Client
	late   bool
	runner *placement.Runner

	mu     sync.Mutex
	view   structs.ViewNumber
	self   bool
	paused chan struct{}
	errs   []error
}

// plan starts a host.
func (w *world) plan(ip string, view structs.ViewNumber) *planner {
	p := &planner{world: w, view: view, self: true}
	p.client = upstream.NewClient(upstream.ClientOptions{
		Network: w.network.Host(ip), FirstByte: time.Second, Answer: time.Minute, Idle: time.Second, AnswerLimit: 1 << 20,
	})
	directory := upstream.NewDirectory(upstream.DirectoryOptions{Client: p.client, HostList: listIP + ":80"})
	go directory.Run(w.ctx)
	p.runner = placement.NewRunner(placement.Options{
		Owner: p, Directory: directory, Demands: w, Orders: p, Lists: w, Logger: event.Discard(),
		Settings: placement.Settings{WeightRate: rate, ModelBytes: size, ModelsPerReplica: 1},
	})
	go p.runner.Run(w.ctx)
	return p
}

// Plans implements placement.Owner.
func (p *planner) Plans(structs.PoolName) (structs.ViewNumber, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view, p.self
}

// Order implements placement.Orders. A paused host sends when it resumes; with late it
// does so even if the time for it has passed, as when it was paused in the write.
func (p *planner) Order(ctx context.Context, address string, order upstream.Order) error {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
	if p.late {
		ctx = p.ctx
	}
	err := p.client.Order(ctx, address, order)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errs = append(p.errs, err)
	return err
}

// pause makes the host stop when it is about to send, and returns what resumes it.
func (p *planner) pause() (resume func()) {
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

func (p *planner) sent() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.errs)
}

// ordered returns the models that a replica accepted orders for.
func (w *world) ordered(i int) []string {
	models := []string{}
	for _, order := range w.engines[i].Orders() {
		models = append(models, order.Model)
	}
	return models
}

// orders counts the accepted orders at all replicas.
func (w *world) orders() int {
	count := 0
	for i := range w.engines {
		count += len(w.ordered(i))
	}
	return count
}

// TestMissingModelIsLoaded guards against a model with demand that stays without a
// replica, and against orders in the quiet time or a second one for the same need.
func TestMissingModelIsLoaded(t *testing.T) {
	run(t, true, func(w *world) {
		is := is.New(t)
		w.want(map[string]placement.Demand{"b": {Waiting: 1}})
		p := w.plan("10.0.0.1", 7)
		time.Sleep(quiet - time.Millisecond)
		is.Equal(w.orders(), 0)
		is.True(!p.runner.Replacing("r0"))
		time.Sleep(1500 * time.Millisecond)
		is.Equal(w.orders(), 1)
		is.True(p.runner.Replacing("r0")) // r0 gets no calls for a, which it may drop
		time.Sleep(4500 * time.Millisecond)
		is.Equal(w.orders(), 1)
		is.True(!p.runner.Replacing("r0"))
		is.Equal(w.engines[0].Load().Models, []string{"a", "b"})
		is.Equal(w.engines[0].Orders()[0].Fence>>24, uint64(7))
		time.Sleep(time.Minute)
		is.Equal(w.orders(), 1)
	}, "a", "a")
}

// TestDemandShifts guards against replicas that stay with a model when the demand has
// moved for good, and against moves for a demand that is over before a load is.
func TestDemandShifts(t *testing.T) {
	run(t, true, func(w *world) {
		is := is.New(t)
		calm := map[string]placement.Demand{"a": {Running: 4}, "b": {Running: 1}}
		shifted := map[string]placement.Demand{"a": {Running: 1}, "b": {Running: 4, Waiting: 8}}
		w.want(calm)
		w.plan("10.0.0.1", 7)
		time.Sleep(time.Minute)
		w.want(shifted)
		time.Sleep(3 * time.Second) // less than two load times
		w.want(calm)
		time.Sleep(time.Minute)
		is.Equal(w.orders(), 0)
		w.want(shifted)
		time.Sleep(time.Minute)
		is.Equal(w.ordered(3), []string{})
		is.True(w.orders() >= 1)
		is.True(w.store.Downloads("b") >= 1)
	}, "a", "a", "a", "b")
}

// TestReplicaLeavesOrFails guards against models that go with their replica, and
// against orders to a replica that leaves.
func TestReplicaLeavesOrFails(t *testing.T) {
	stops := map[string]func(w *world){
		"leaves by list":   func(w *world) { w.list.SetState("r0", "leaving") },
		"leaves by report": func(w *world) { w.engines[0].SetLeaving(true) },
		"fails":            func(w *world) { w.network.Kill("10.2.0.1") },
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			run(t, true, func(w *world) {
				is := is.New(t)
				w.want(map[string]placement.Demand{"a": {Running: 1}, "b": {Running: 1}})
				w.plan("10.0.0.1", 7)
				time.Sleep(time.Minute)
				is.Equal(w.orders(), 0)
				stop(w)
				time.Sleep(20 * time.Second)
				is.Equal(w.orders(), 1)
				is.Equal(w.ordered(0), []string{})
				is.Equal(w.store.Downloads("b"), 1)
			}, "b", "a", "a")
		})
	}
}

// TestOldPlannerCannotInterfere guards against a host that was paused before it sent an
// order and believes to be the planner still: an engine must not follow it after the new
// planner. An engine that checks fencing numbers must refuse even an order that was
// paused in the write; towards others, the time limit of the order must hold it back.
func TestOldPlannerCannotInterfere(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks_fence %v", checksFence), func(t *testing.T) {
			run(t, checksFence, func(w *world) {
				is := is.New(t)
				old := w.plan("10.0.0.1", 7)
				time.Sleep(time.Minute)
				resume := old.pause()
				old.late = checksFence
				w.want(map[string]placement.Demand{"b": {Waiting: 1}})
				time.Sleep(time.Second)
				w.want(map[string]placement.Demand{"c": {Waiting: 1}})
				w.plan("10.0.0.2", 8)
				time.Sleep(30 * time.Second)
				is.Equal(w.ordered(0), []string{"c"})
				resume()
				time.Sleep(time.Minute)
				is.Equal(len(old.sent()), 1)
				want := context.DeadlineExceeded
				if checksFence {
					want = upstream.ErrOldFence
				}
				is.True(errors.Is(old.sent()[0], want))
				is.Equal(w.orders(), 1)
			}, "a")
		})
	}
}

// TestPausedPlannerWaitsAgain guards against a planner that was paused and goes on at
// once: another one may have planned in between and still send.
func TestPausedPlannerWaitsAgain(t *testing.T) {
	run(t, false, func(w *world) {
		is := is.New(t)
		p := w.plan("10.0.0.1", 7)
		time.Sleep(time.Minute)
		resume := p.pause()
		w.want(map[string]placement.Demand{"b": {Waiting: 1}})
		time.Sleep(5 * time.Second)
		resume()
		time.Sleep(quiet - time.Millisecond)
		is.Equal(w.orders(), 0)
		time.Sleep(5 * time.Second)
		is.Equal(w.ordered(0), []string{"b"})
	}, "a")
}

// TestWeightBudget guards against loads that start faster than the weight store sends:
// in any time t, one largest model more than rate * t.
func TestWeightBudget(t *testing.T) {
	run(t, true, func(w *world) {
		is := is.New(t)
		w.want(map[string]placement.Demand{"a": {Running: 1}, "b": {Waiting: 40}, "c": {Waiting: 40}})
		w.plan("10.0.0.1", 7)
		const step = 100 * time.Millisecond
		var starts []time.Time
		for range time.Minute / step {
			time.Sleep(step)
			for len(starts) < w.orders() {
				starts = append(starts, time.Now())
			}
		}
		is.True(len(starts) >= 5)
		for i := range starts {
			for j := i + 1; j < len(starts); j++ {
				within := starts[j].Sub(starts[i]) + step
				is.True(float64((j-i+1)*size) <= size+rate*within.Seconds())
			}
		}
	}, "a", "a", "a", "a", "a", "a")
}
