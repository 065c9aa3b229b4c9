package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/route"
)

// minRetryAfter is the minimum retry delay sent to a refused caller.
const minRetryAfter = 50 * time.Millisecond

// Limiter holds the buckets of this host. Its methods are safe for concurrent use.
type Limiter struct {
	// hostCounts returns the number of known and of live hosts.
	hostCounts func() (known, alive int)
	bound      Bound
	// started is when this host began to count.
	started boottime.Instant

	mu      sync.Mutex
	buckets map[uint32]*bucket
	// young holds the hosts that have run for less than a window, and until when.
	young map[string]boottime.Instant
}

// NewLimiter returns a limiter without buckets. HostCounts returns the number of known and
// of live hosts.
func NewLimiter(bound Bound, hostCounts func() (known, alive int)) *Limiter {
	return &Limiter{hostCounts: hostCounts, bound: bound, started: boottime.Now(), buckets: make(map[uint32]*bucket),
		young: make(map[string]boottime.Instant)}
}

// fleetSize returns the current size of the fleet.
func (l *Limiter) fleetSize() fleetSize {
	known, alive := l.hostCounts()
	return fleetSize{known: known, alive: alive}
}

// accountHash returns the hash that identifies an account in heartbeats.
func accountHash(account string) uint32 { return uint32(xxhash.Sum64String(account)) }

// Configure sets the rates of a configuration version. Every host maintains all buckets, so
// that it has the state of those whose owner it becomes.
func (l *Limiter) Configure(table *route.Table) {
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, account := range table.Accounts() {
		if account.Rate > 0 {
			l.bucketLocked(accountHash(account.Name)).configure(table.Version, account.Rate, max(account.Burst, 1), now)
		}
	}
}

// Take admits one request if its bucket allows. Owner is set if this host owns the bucket;
// otherwise it limits itself to its own share.
func (l *Limiter) Take(args TakeArgs, owner bool) TakeReply {
	f := l.fleetSize()
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketLocked(accountHash(args.Account))
	b.configure(args.Version, args.Rate, args.Burst, now)
	if args.Host != "" {
		l.applyHistoryLocked(b, args, f, now)
	}
	if b.take(now, f, args.Request, owner) {
		return TakeReply{Admitted: true}
	}
	return TakeReply{RetryAfter: max(b.retryAfter(f, args.Request, owner), minRetryAfter)}
}

// Refund reverses Take for a request that was admitted and did not run. Owner must be the
// same as for Take.
func (l *Limiter) Refund(args TakeArgs, owner bool) {
	f := l.fleetSize()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucketLocked(accountHash(args.Account)).refund(boottime.Now(), f, args.Request, owner)
}

// applyHistoryLocked applies what the calling host says of the past window. Young hosts, which know
// only a part of it, count like those that were lost unless there are no others.
func (l *Limiter) applyHistoryLocked(b *bucket, args TakeArgs, f fleetSize, now boottime.Instant) {
	if args.Age > 0 {
		l.young[args.Host] = now.Add(l.bound.Window - args.Age)
	}
	young := l.youngLocked(now)
	if args.Age > 0 && young < f.alive {
		args.Elsewhere = nil
	}
	factor := func(by granter, hosts int) float64 {
		if b.hasReportsOf(by) || by.host == args.Host {
			return 1
		}
		return f.lossFactor(hosts, young)
	}
	b.elsewhere.set(args.Host, args.Elsewhere, factor, now, l.bound.Window)
}

// youngLocked returns the number of hosts that are known to have run for less than a window.
func (l *Limiter) youngLocked(now boottime.Instant) int {
	maps.DeleteFunc(l.young, func(_ string, until boottime.Instant) bool { return until <= now })
	return len(l.young)
}

// withHistory returns args with what this host, self, tells owner about the past window.
func (l *Limiter) withHistory(args TakeArgs, self string, owner granter) TakeArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	args.Elsewhere = l.bucketLocked(accountHash(args.Account)).received.except(owner, now, l.bound.Window)
	if age := now.Sub(l.started); age < l.bound.Window {
		args.Age = age
	}
	if args.Elsewhere != nil || args.Age > 0 {
		args.Host = self
	}
	return args
}

// receive records that by has admitted a request of a caller of this host. Owner is set if it did
// so as the owner of the bucket.
func (l *Limiter) receive(args TakeArgs, by granter, owner bool) {
	f := l.fleetSize()
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketLocked(accountHash(args.Account))
	b.configure(args.Version, args.Rate, args.Burst, now)
	b.receive(now, f, by, owner)
}

// unreceive reverses receive for a request that did not run.
func (l *Limiter) unreceive(args TakeArgs, by granter) {
	f := l.fleetSize()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucketLocked(accountHash(args.Account)).received.add(by, -1, f.alive, boottime.Now(), l.bound.Window)
}

func (l *Limiter) bucketLocked(account uint32) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = newBucket(l.bound)
		b.youngUntil = l.started.Add(l.bound.Window)
		l.buckets[account] = b
	}
	return b
}

// usage returns this host's counters of the accounts for which it has changed them in the last
// window.
func (l *Limiter) usage() map[uint32]peers.Usage {
	f := l.fleetSize()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	counts := make(map[uint32]peers.Usage)
	for account, b := range l.buckets {
		if b.usedAt == 0 || now.Sub(b.usedAt) > l.bound.Window {
			continue
		}
		b.refill(now, f)
		used := b.usage
		used.Recent = uint32(b.admittedByAll())
		counts[account] = used
	}
	return counts
}

// pastUsage returns the requests of an account in the window by their age, as peers.UsageReport.Past.
func (l *Limiter) pastUsage(account uint32) []uint32 {
	f := l.fleetSize()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketLocked(account)
	b.refill(boottime.Now(), f)
	all := b.windowOfAll()
	return all.byAge()
}

// ApplyUsage applies what another host reports.
func (l *Limiter) ApplyUsage(host string, incarnation int64, report peers.UsageReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.fleetSize()
	now := boottime.Now()
	for account, used := range report.Counts {
		b := l.bucketLocked(account)
		b.refill(now, f)
		b.applyUsage(host, incarnation, used, report.Past[account])
	}
}
