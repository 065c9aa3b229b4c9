package admission

import (
	"maps"
	"sync"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
)

// reportLifetime is how long the last report of a host counts.
const reportLifetime = time.Second

// Owner holds the pools of the services that this host owns or may own next, and the reports of
// all hosts about them. Its methods are safe for concurrent use. Its mutex is held while no other
// one is acquired.
type Owner struct {
	// slots returns the number of slots of a service, and hostCounts the number of known and of
	// live hosts.
	slots      func(service string) int
	hostCounts func() (known, alive int)
	now        func() boottime.Instant

	mu       sync.Mutex
	services map[uint32]*serviceState
}

// serviceState is what an owner knows of one service.
type serviceState struct {
	pool    *Pool
	reports map[string]hostReport
	// observedAt is when the pool was last updated from the reports.
	observedAt boottime.Instant
}

// hostReport is the last report of one host about one service.
type hostReport struct {
	at       boottime.Instant
	inFlight peers.ServiceInFlight
}

// NewOwner returns an owner without pools. Slots returns the number of slots of a service, and
// hostCounts the number of known and of live hosts.
func NewOwner(slots func(service string) int, hostCounts func() (known, alive int)) *Owner {
	return &Owner{slots: slots, hostCounts: hostCounts, now: boottime.Now, services: make(map[uint32]*serviceState)}
}

// Admit decides whether a program may begin, as the owner of its service. A host that is alive with
// a minority of the known hosts may be cut off from another owner, and uses only their part of the
// slots.
func (o *Owner) Admit(r Request) Decision {
	known, alive := o.hostCounts()
	slots := float64(o.slots(r.Service))
	if 2*alive <= known {
		slots *= float64(alive) / float64(known)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	s := o.serviceLocked(Hash(r.Service))
	s.pool.SetSlots(slots)
	s.observe(now)
	d := s.pool.Admit(now, r)
	updateGauges(r.Service, d)
	return d
}

// ApplyReport records what a host has in flight.
func (o *Owner) ApplyReport(host string, report []peers.ServiceInFlight) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	for _, r := range report {
		o.serviceLocked(r.Service).reports[host] = hostReport{at: now, inFlight: r}
	}
}

// AtReplicas returns the number of requests that all hosts have in flight at the replicas of a
// service, by their hashes.
func (o *Owner) AtReplicas(service string) map[uint32]int {
	counts := make(map[uint32]int)
	for hash, n := range o.InFlight(Hash(service)).Replicas {
		counts[hash] = int(n)
	}
	return counts
}

// Heard reports whether a host has reported on a service lately.
func (o *Owner) Heard(service, host string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[Hash(service)]
	if s == nil {
		return false
	}
	r, known := s.reports[host]
	return known && o.now().Sub(r.at) <= reportLifetime
}

// InFlight returns the number of requests that all hosts have in flight at the replicas of a
// service.
func (o *Owner) InFlight(service uint32) peers.ServiceInFlight {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := peers.ServiceInFlight{Service: service, Replicas: make(map[uint32]uint16)}
	s := o.services[service]
	if s == nil {
		return total
	}
	s.dropSilent(o.now())
	for _, r := range s.reports {
		for replica, n := range r.inFlight.Replicas {
			total.Replicas[replica] += n
		}
	}
	return total
}

func (o *Owner) serviceLocked(service uint32) *serviceState {
	s := o.services[service]
	if s == nil {
		s = &serviceState{pool: NewPool(), reports: make(map[string]hostReport)}
		o.services[service] = s
	}
	return s
}

// observe updates the pool from the reports, once in each slice.
func (s *serviceState) observe(now boottime.Instant) {
	if now.Sub(s.observedAt) < slice {
		return
	}
	s.observedAt = now
	s.dropSilent(now)
	routes := make(map[uint32]int)
	age := time.Duration(0)
	for _, r := range s.reports {
		age += now.Sub(r.at)
		for route, n := range r.inFlight.Routes {
			routes[route] += int(n)
		}
	}
	s.pool.Observe(now.Add(-age/time.Duration(max(len(s.reports), 1))), routes)
}

// dropSilent drops the reports of hosts that have sent none for some time.
func (s *serviceState) dropSilent(now boottime.Instant) {
	maps.DeleteFunc(s.reports, func(_ string, r hostReport) bool { return now.Sub(r.at) > reportLifetime })
}
