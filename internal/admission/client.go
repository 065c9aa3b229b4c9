package admission

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/replica"
)

const (
	// admitTimeout limits one call to a service's owner, which is one or two milliseconds away and
	// decides immediately.
	admitTimeout = 60 * time.Millisecond
	// reportInterval is the interval between two reports of a host.
	reportInterval = 200 * time.Millisecond
	// fleetOfShortInterval is the number of hosts up to which that interval applies. In a larger
	// fleet it grows, since the owner receives the reports of all hosts.
	fleetOfShortInterval = 150
	// reportReceivers is the number of hosts that receive the reports on a service: its owner, and
	// the host that would own it next.
	reportReceivers = 2
)

var ownerUnreachable = metrics.NewCounter("cowslipgw_admission_owner_unreachable_total")

// Client asks the owners of services whether programs may begin. While an owner is unreachable, it
// decides within this host's share of the slots.
type Client struct {
	hosts      peers.Hosts
	caller     peers.Calls
	owner      *Owner
	slots      func(service string) int
	hostCounts func() (known, alive int)
	inFlight   func() []replica.ServiceLoad

	mu sync.Mutex
	// shares holds the pools for decisions without the owner, by service.
	shares     map[string]*Pool
	reportedAt boottime.Instant
	// reported holds the services of the last report, and totalled those of the last total for all
	// hosts: one without requests in flight is reported once more.
	reported, totalled map[string]bool
}

// NewClient returns a client. Owner holds the pools of this host, and inFlight returns what this
// host has in flight.
func NewClient(hosts peers.Hosts, caller peers.Calls, owner *Owner, inFlight func() []replica.ServiceLoad) *Client {
	return &Client{hosts: hosts, caller: caller, owner: owner, slots: owner.slots, hostCounts: owner.hostCounts,
		inFlight: inFlight, shares: make(map[string]*Pool), reported: make(map[string]bool)}
}

// serviceKey returns the rendezvous hashing key of a service.
func serviceKey(service string) uint64 { return xxhash.Sum64String(service) }

// Admit decides whether a program may begin.
func (c *Client) Admit(ctx context.Context, r Request) Decision {
	owners := c.hosts.StorelessCandidates(serviceKey(r.Service), 1)
	var d Decision
	switch {
	case len(owners) == 0 || owners[0].ID == c.hosts.Self().ID:
		d = c.owner.Admit(r)
	default:
		var err error
		if d, err = c.ask(ctx, owners[0], r); err != nil {
			ownerUnreachable.Inc()
			d = c.admitShare(r)
		}
	}
	decisions(d.Reason, r.Route).Inc()
	return d
}

// ask calls the owner of a service.
func (c *Client) ask(ctx context.Context, owner peers.Host, r Request) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	args := AdmitArgs{Service: r.Service, Program: r.Program, Route: r.Route, Priority: r.Priority, TimeLeftMS: r.TimeLeft.Milliseconds()}
	var reply AdmitReply
	err := c.caller.Call(ctx, owner, ServiceName+".Admit", args, &reply)
	return reply.decision(), err
}

// admitShare decides within this host's share of the slots. A host that is alive with a minority of
// the known hosts assumes that the others use their share, too.
func (c *Client) admitShare(r Request) Decision {
	known, alive := c.hostCounts()
	hosts := max(alive, 1)
	if 2*alive <= known {
		hosts = known
	}
	slots := float64(c.slots(r.Service)) / float64(hosts)
	routes := make(map[uint32]int)
	for _, load := range c.inFlight() {
		if load.Service == r.Service {
			routes = hashedCounts(load.Classes)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.shares[r.Service]
	if pool == nil {
		pool = NewPool()
		c.shares[r.Service] = pool
	}
	pool.SetSlots(slots)
	now := boottime.Now()
	// A program that has just been admitted has no request in flight yet.
	pool.Observe(now.Add(-slice), routes)
	return pool.Admit(now, r)
}

// Reports returns what this host reports at this moment: to the owners what it has in flight
// itself, and to all hosts what the fleet has in flight at the services that it owns.
func (c *Client) Reports() peers.InFlightReports {
	c.mu.Lock()
	now := boottime.Now()
	known, _ := c.hostCounts()
	interval := reportInterval * time.Duration(max(known, fleetOfShortInterval)) / fleetOfShortInterval
	if now.Sub(c.reportedAt) < interval {
		c.mu.Unlock()
		return peers.InFlightReports{}
	}
	c.reportedAt = now
	reportedBefore, totalledBefore := c.reported, c.totalled
	c.mu.Unlock()

	self := c.hosts.Self().ID
	reported, totalled := make(map[string]bool), make(map[string]bool)
	reports := peers.InFlightReports{ByHost: make(map[string][]peers.ServiceInFlight)}
	for _, load := range c.inFlight() {
		empty := len(load.Replicas) == 0
		owners := c.hosts.StorelessCandidates(serviceKey(load.Service), reportReceivers)
		if !empty || reportedBefore[load.Service] {
			c.report(reports.ByHost, owners, load, self)
			reported[load.Service] = !empty
		}
		if len(owners) > 0 && owners[0].ID == self {
			total := c.owner.InFlight(Hash(load.Service))
			busy := len(total.Replicas) > 0
			if busy || totalledBefore[load.Service] {
				reports.All = append(reports.All, total)
				totalled[load.Service] = busy
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported, c.totalled = reported, totalled
	return reports
}

// report adds the report on a service to those for its owners.
func (c *Client) report(byHost map[string][]peers.ServiceInFlight, owners []peers.Host, load replica.ServiceLoad, self string) {
	message := peers.ServiceInFlight{Service: Hash(load.Service), Routes: shortCounts(hashedCounts(load.Classes)),
		Replicas: make(map[uint32]uint16, len(load.Replicas))}
	for incarnation, n := range load.Replicas {
		message.Replicas[incarnation.Hash()] = uint16(n)
	}
	for _, h := range owners {
		if h.ID == self {
			c.owner.ApplyReport(self, []peers.ServiceInFlight{message})
			continue
		}
		byHost[h.ID] = append(byHost[h.ID], message)
	}
}

// hashedCounts returns counts by the hash of their names.
func hashedCounts(byName map[string]int) map[uint32]int {
	counts := make(map[uint32]int, len(byName))
	for name, n := range byName {
		counts[Hash(name)] += n
	}
	return counts
}

func shortCounts(counts map[uint32]int) map[uint32]uint16 {
	short := make(map[uint32]uint16, len(counts))
	for key, n := range counts {
		short[key] = uint16(n)
	}
	return short
}
