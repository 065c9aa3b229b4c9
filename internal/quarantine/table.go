package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/replica"
)

const (
	// crashThreshold is the number of replicas that may end under a request.
	crashThreshold = 3
	// minReporters is the number of hosts that must have seen them end: replicas that a single
	// host no longer reaches have not crashed.
	minReporters = 2
	// suspectLifetime is how long a crash counts after the last one and after a quarantine.
	suspectLifetime = time.Minute
	// maxQuarantineTime is how long a request is refused.
	maxQuarantineTime = 10 * time.Minute
	// pathQuarantineTime is how long all requests of an account for one path are refused at
	// first; the time doubles with each further crash, up to maxQuarantineTime.
	pathQuarantineTime = 30 * time.Second
	// repeatInterval is the time after which hosts are told again of a quarantined request, and
	// repeatJitter the largest random addition, after which usually one host does so.
	repeatInterval = time.Second
	repeatJitter   = time.Second
	// copyHold is how long after a crash copies of the request wait that other programs send. A
	// program repeats a failed request within half a second.
	copyHold = 2 * time.Second
	// noticeLifetime is the time in which a notice may arrive that was sent before a request
	// completed.
	noticeLifetime = 3 * time.Second
	// maxSuspects is the maximum number of requests that are remembered.
	maxSuspects = 10_000
	// maxPerNotice is the maximum number of requests in one message.
	maxPerNotice = 100
)

var refused = metrics.NewCounter("cowslipgw_quarantine_refused_total")

// Hosts is the part of the fleet's membership that a Table needs.
type Hosts interface {
	Self() peers.Host
	Counts() (known, alive int)
}

// Table holds the requests under which replicas have crashed. Its methods are safe for
// concurrent use. Each host keeps a table; notices make them alike.
type Table struct {
	hosts Hosts
	// broadcast sends a notice to all other hosts.
	broadcast func(peers.Notice)
	events    *event.Logger
	now       func() boottime.Instant

	// count is the number of suspects, for a check without the mutex.
	count atomic.Int64

	mu       sync.Mutex
	suspects map[Digest]*suspect
	// cleared holds when requests were found to complete, for noticeLifetime.
	cleared map[Digest]boottime.Instant
}

// NewTable returns an empty table. Broadcast sends a notice to all other hosts.
func NewTable(hosts Hosts, broadcast func(peers.Notice), events *event.Logger) *Table {
	return &Table{hosts: hosts, broadcast: broadcast, events: events, now: boottime.Now, suspects: make(map[Digest]*suspect),
		cleared: make(map[Digest]boottime.Instant)}
}

// Crashed records that a replica ended while it ran the given requests of this host.
func (t *Table) Crashed(id string, incarnation int64, requests []Request) {
	for part := range slices.Chunk(requests, maxPerNotice/len(Request{}.digests())) {
		var notice peers.Notice
		for _, r := range part {
			for _, d := range r.digests() {
				crash := peers.Crash{Request: peers.RequestDigest(d), Replica: id, Incarnation: incarnation}
				t.add(t.hosts.Self().ID, crash, r.Program)
				notice.Crashes = append(notice.Crashes, crash)
				notice.CrashPrograms = append(notice.CrashPrograms, r.Program)
			}
		}
		t.broadcast(notice)
	}
}

// Completed records that a replica ran a request of this host to the end, which shows that the
// request does not crash replicas.
func (t *Table) Completed(r Request) {
	var known []peers.RequestDigest
	for _, d := range r.digests() {
		if t.remove(d) {
			known = append(known, peers.RequestDigest(d))
		}
	}
	if len(known) > 0 {
		t.broadcast(peers.Notice{Completed: known})
	}
}

// HasSuspects reports whether any request is remembered. If not, the other methods need not be
// called.
func (t *Table) HasSuspects() bool { return t.count.Load() > 0 }

// Refused reports whether a request must not be run, and for how long.
func (t *Table) Refused(r Request) (remaining time.Duration, isRefused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, d := range r.digests() {
		if s := t.suspects[d]; s != nil {
			remaining = max(remaining, s.until.Sub(now), s.hold(d, r.Program, now))
		}
	}
	if remaining <= 0 {
		return 0, false
	}
	refused.Inc()
	return remaining, true
}

// Crashes returns the number of replicas that ended under a request.
func (t *Table) Crashes(r Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, d := range r.digests() {
		if s := t.suspects[d]; s != nil {
			count = max(count, len(s.crashed))
		}
	}
	return count
}

// Receive applies a notice of another host.
func (t *Table) Receive(host string, notice peers.Notice) {
	for n, crash := range notice.Crashes {
		if !t.wasCleared(Digest(crash.Request)) {
			t.add(host, crash, notice.CrashProgram(n))
		}
	}
	for _, d := range notice.Completed {
		t.remove(Digest(d))
	}
	for _, q := range notice.Quarantined {
		if !t.wasCleared(Digest(q.Request)) {
			t.applyQuarantine(q)
		}
	}
}

// applyQuarantine applies the quarantine of a request that another host reports.
func (t *Table) applyQuarantine(q peers.Quarantine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspectLocked(Digest(q.Request))
	if s == nil {
		return
	}
	now := t.now()
	remaining := min(max(time.Duration(q.RemainingMS)*time.Millisecond, 0), maxQuarantineTime)
	s.until = max(s.until, now.Add(remaining))
	s.scheduleRepeat(now)
}

// wasCleared reports whether a request was found to complete so recently that a notice about it
// may be older.
func (t *Table) wasCleared(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.cleared[d]
	return known && t.now().Sub(at) < noticeLifetime
}

// Repeat tells all hosts again of quarantined requests of which this host has not heard for some
// time, for hosts that have started or were cut off. It also forgets what has expired. It is to
// be called a few times a second.
func (t *Table) Repeat() {
	for _, notice := range t.dueNotices() {
		t.broadcast(notice)
	}
}

// dueNotices returns the notices that are due.
func (t *Table) dueNotices() []peers.Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []peers.Quarantine
	now := t.now()
	maps.DeleteFunc(t.cleared, func(_ Digest, at boottime.Instant) bool { return now.Sub(at) >= noticeLifetime })
	for d, s := range t.suspects {
		switch {
		case s.expired(now):
			t.deleteLocked(d)
		case s.until > now && now >= s.repeatAt:
			due = append(due, peers.Quarantine{Request: peers.RequestDigest(d), RemainingMS: s.until.Sub(now).Milliseconds()})
			s.scheduleRepeat(now)
		}
	}
	var notices []peers.Notice
	for part := range slices.Chunk(due, maxPerNotice) {
		notices = append(notices, peers.Notice{Quarantined: part})
	}
	return notices
}

// add records the crash of a replica under a request, as a host reports it, and quarantines the
// request if it is one too many.
func (t *Table) add(host string, crash peers.Crash, program uint64) {
	_, alive := t.hosts.Counts()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspectLocked(Digest(crash.Request))
	if s == nil {
		return
	}
	now := t.now()
	s.add(host, replica.Incarnation{ID: crash.Replica, Born: crash.Incarnation}, program, now)
	if s.until > now || len(s.crashed) < crashThreshold || len(s.reporters) < min(minReporters, alive) {
		return
	}
	length := s.quarantine(Digest(crash.Request), now)
	t.events.Log(event.RequestQuarantined, event.Fields{"digest": Digest(crash.Request).String(), "any_body": !Digest(crash.Request).hasBody(),
		"replicas": len(s.crashed), "hosts": len(s.reporters), "last_replica": crash.Replica, "for_ms": length.Milliseconds()})
}

// suspectLocked returns the entry of a request, which it adds if needed; nil if there are too
// many.
func (t *Table) suspectLocked(d Digest) *suspect {
	s := t.suspects[d]
	if s != nil && !s.expired(t.now()) {
		return s
	}
	if s == nil && len(t.suspects) >= maxSuspects {
		return nil
	}
	s = newSuspect(t.now())
	t.suspects[d] = s
	t.count.Store(int64(len(t.suspects)))
	return s
}

// remove forgets a request and reports whether it was remembered.
func (t *Table) remove(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.suspects[d]
	t.deleteLocked(d)
	if known {
		t.cleared[d] = t.now()
	}
	return known
}

func (t *Table) deleteLocked(d Digest) {
	delete(t.suspects, d)
	t.count.Store(int64(len(t.suspects)))
}
