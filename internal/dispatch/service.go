package dispatch

import (
	"context"
	"sync"

	"cowslipgw/internal/event"
	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// Service dispatches the pools that this host owns and serves requests from other
// hosts as the RPC service "Dispatch".
type Service struct {
	options ServiceOptions
	mu      sync.Mutex
	pools   map[structs.PoolName]*runningPool
	done    sync.WaitGroup
	closed  bool
}

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Host      structs.HostID
	Owners    Owners
	Directory Directory
	// NewPolicy creates the policy of a pool. The default is sched.NewFair with the
	// default settings.
	NewPolicy func(structs.PoolName) sched.Policy
	Limits    Limits
	Log       *event.Logger
}

// runningPool is a pool and the function that stops it.
type runningPool struct {
	pool *Pool
	stop context.CancelFunc
}

// NewService returns a service with no pools.
func NewService(o ServiceOptions) *Service {
	if o.NewPolicy == nil {
		o.NewPolicy = func(structs.PoolName) sched.Policy { return sched.NewFair(sched.DefaultSettings()) }
	}
	return &Service{options: o, pools: make(map[structs.PoolName]*runningPool)}
}

// pool returns the named pool, starting it if necessary. It returns nil, and stops
// the pool, if this host does not own it.
func (s *Service) pool(name structs.PoolName) *Pool {
	_, self := s.options.Owners.Owner(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !self || s.closed {
		s.stopLocked(name)
		return nil
	}
	if running := s.pools[name]; running != nil {
		return running.pool
	}
	pool := NewPool(PoolOptions{
		Name: name, Host: s.options.Host, Term: s.options.Owners.Term(),
		Directory: s.options.Directory, Policy: s.options.NewPolicy(name),
		Limits: s.options.Limits, Log: s.options.Log,
	})
	ctx, stop := context.WithCancel(context.Background())
	s.pools[name] = &runningPool{pool: pool, stop: stop}
	s.done.Go(func() { pool.Run(ctx) })
	return pool
}

// ViewChanged stops the pools that other hosts now own, and frees the slots of hosts
// that have left the view.
func (s *Service) ViewChanged(number structs.ViewNumber, live map[structs.HostID]structs.Incarnation) {
	for _, name := range s.names() {
		if pool := s.pool(name); pool != nil {
			pool.RetainHosts(number, live)
		}
	}
}

// Close stops all pools and waits for them to end.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	for name := range s.pools {
		s.stopLocked(name)
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Service) names() []structs.PoolName {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]structs.PoolName, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	return names
}

func (s *Service) stopLocked(name structs.PoolName) {
	if running := s.pools[name]; running != nil {
		running.stop()
		delete(s.pools, name)
	}
}
