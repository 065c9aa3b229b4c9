package evacuation

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
)

const (
	// askTimeout limits one question to another host, which is one or two milliseconds away.
	askTimeout = 100 * time.Millisecond
	// maxAsked is the number of hosts that are asked at a time.
	maxAsked = 3
	// askInterval is the interval of the questions while the store is lost.
	askInterval = 250 * time.Millisecond
	// confirmWait is how long a request waits for a confirmation.
	confirmWait = 300 * time.Millisecond
)

var (
	confirmationsOfHosts = metrics.NewCounter("cowslipgw_evacuations_confirmed_by_hosts_total")
	unconfirmedRequests  = metrics.NewCounter("cowslipgw_evacuations_unconfirmed_total")
	outagePermits        = metrics.NewCounter("cowslipgw_evacuations_outage_permits_total")
)

// Hosts is what a Follower needs to know of other hosts. peers.Table implements it.
type Hosts interface {
	// Informants returns up to limit live hosts, those first that reach the store.
	Informants(limit int) []peers.Host
	// Counts returns the numbers of known and of live hosts, including this one.
	Counts() (known, alive int)
	// StoreReachableElsewhere reports whether another live host reaches the store.
	StoreReachableElsewhere() bool
}

// Store is the host's own access to the operator's records. gateway.ConfigWatcher implements it.
type Store interface {
	// Confirm reads the records anew and reports whether that succeeded in a short time.
	Confirm(ctx context.Context) bool
	// StoreLost reports whether the last read failed.
	StoreLost() bool
}

// Follower keeps the knowledge of a host current while its reads of the store fail or come late. Its
// methods are safe for concurrent use.
type Follower struct {
	knowledge *Knowledge
	hosts     Hosts
	caller    peers.Calls
	store     Store
	events    *event.Logger

	mu sync.Mutex
	// attempt is closed at the end of the confirmation in progress; nil if there is none.
	attempt chan struct{}
	// unconfirmed is set since a confirmation failed.
	unconfirmed bool
}

// NewFollower returns a follower. Knowledge is updated by the reads of store as well.
func NewFollower(knowledge *Knowledge, hosts Hosts, caller peers.Calls, store Store, events *event.Logger) *Follower {
	return &Follower{knowledge: knowledge, hosts: hosts, caller: caller, store: store, events: events}
}

// Current reports whether requests may be sent at this moment.
func (f *Follower) Current() bool { return f.knowledge.Current() }

// Run asks other hosts while the store is lost, until ctx ends. Without a bound for evacuations it
// returns at once.
func (f *Follower) Run(ctx context.Context) {
	if !f.knowledge.isBounded() {
		return
	}
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if f.store.StoreLost() {
			f.ask(ctx)
		}
	}
}

// Confirm reports whether requests may be sent. If the knowledge is not current, as after a pause of
// this host, it reads the records or asks other hosts first.
func (f *Follower) Confirm(ctx context.Context) bool {
	if f.knowledge.Current() {
		return true
	}
	select {
	case <-f.begin():
	case <-ctx.Done():
	}
	if f.knowledge.Current() {
		return true
	}
	unconfirmedRequests.Inc()
	return false
}

// begin starts a confirmation unless one is in progress. The channel is closed at its end.
func (f *Follower) begin() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attempt == nil {
		done := make(chan struct{})
		f.attempt = done
		go func() {
			f.confirm()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.attempt = nil
			f.logChangeLocked(!f.knowledge.Current())
			close(done)
		}()
	}
	return f.attempt
}

// confirm asks the store and other hosts at the same time. It returns when the knowledge is current,
// or both have failed.
func (f *Follower) confirm() {
	ctx, cancel := context.WithTimeout(context.Background(), confirmWait)
	defer cancel()
	asked := make(chan bool, 1)
	go func() { asked <- f.ask(ctx) }()
	read := make(chan struct{})
	go func() {
		defer close(read)
		f.store.Confirm(ctx)
	}()
	answered := <-asked
	if f.knowledge.Confirmed() {
		return
	}
	<-read
	if !f.knowledge.Confirmed() && answered && f.isOutage() {
		f.knowledge.permit()
		outagePermits.Inc()
	}
}

// isOutage reports whether no host of a majority reaches the store. No host can read an evacuation
// then, and no operator can write one.
func (f *Follower) isOutage() bool {
	known, alive := f.hosts.Counts()
	return f.store.StoreLost() && 2*alive > known && !f.hosts.StoreReachableElsewhere()
}

// ask asks other hosts for what they know. It reports whether a host answered, if there is any.
func (f *Follower) ask(ctx context.Context) (answered bool) {
	hosts := f.hosts.Informants(maxAsked)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan bool, len(hosts))
	for _, h := range hosts {
		go func() { answers <- f.askHost(ctx, h) }()
	}
	answered = len(hosts) == 0
	for range hosts {
		answered = <-answers || answered
	}
	return answered
}

// askHost asks one host. It reports whether the host answered; one of an earlier build answers that
// it does not know the call.
func (f *Follower) askHost(ctx context.Context, h peers.Host) bool {
	asked := f.knowledge.now()
	var reply ReportReply
	err := f.caller.Call(ctx, h, ServiceName+".Report", ReportArgs{}, &reply)
	if err != nil {
		var refused rpc.ServerError
		return errors.As(err, &refused)
	}
	if reply.Known {
		f.knowledge.LearnReported(State{End: reply.End, Domains: reply.Domains, Returned: reply.Returned}, asked, reply.Age)
		confirmationsOfHosts.Inc()
	}
	return true
}

// logChangeLocked logs when confirmations begin to fail and when they succeed again.
func (f *Follower) logChangeLocked(unconfirmed bool) {
	if unconfirmed == f.unconfirmed {
		return
	}
	f.unconfirmed = unconfirmed
	_, age, _ := f.knowledge.report()
	f.events.Log(event.EvacuationsUnconfirmed, event.Fields{"unconfirmed": unconfirmed, "age_ms": age.Milliseconds()})
}
