package dispatch

import (
	"context"
	"sync"

	"cowslipgw/internal/event"
	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// Service dispatches the pools that this host owns and answers other hosts as
// RPC service "Dispatch".
type Service struct {
	options ServiceOptions
	mu      sync.Mutex
	pools   map[structs.PoolName]*runningPool
	done    sync.WaitGroup
	closed  bool
}

// ServiceOptions set up a Service.
type ServiceOptions struct {
	Host      structs.HostID
	Owners    Owners
	Directory Directory
	// NewPolicy makes the policy of a pool; nil for sched.NewFair with default settings.
	NewPolicy func(structs.PoolName) sched.Policy
	Limits    Limits
	Log       *event.Logger
}

// runningPool is a pool and how to stop it.
type runningPool struct {
	pool *Pool
	stop context.CancelFunc
}

// NewService returns a service without pools.
func NewService(o ServiceOptions) *Service {
	if o.NewPolicy == nil {
		o.NewPolicy = func(structs.PoolName) sched.Policy { return sched.NewFair(sched.DefaultSettings()) }
	}
	return &Service{options: o, pools: make(map[structs.PoolName]*runningPool)}
}

// pool returns the pool if this host owns it now; nil if not.
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

// ViewChanged stops the pools that other hosts own now and frees the slots of
// hosts that are gone.
func (s *Service) ViewChanged(number structs.ViewNumber, live map[structs.HostID]structs.Incarnation) {
	for _, name := range s.names() {
		if pool := s.pool(name); pool != nil {
			pool.Retain(number, live)
		}
	}
}

// Close stops all pools and waits for them.
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
