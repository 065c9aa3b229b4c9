package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/replica"
)

const (
	// minLostLinks is the number of lost links, with none that works, from which on a host counts
	// as stranded.
	minLostLinks = 2
	// unusedLinkAge is the time after which a link without requests is forgotten.
	unusedLinkAge = time.Minute
)

var linksLost = metrics.NewCounter("cowslipgw_upstream_links_lost_total")

// links holds the state of this host's links to replicas by address. Its methods are safe for
// concurrent use. Lock order: the mutex of forward.Pool, mu.
type links struct {
	events *event.Logger

	mu     sync.Mutex
	byAddr map[string]*link
	// suspectedAt is when this host last began to doubt all of its links; zero if it does not. A
	// link that was not heard since then is checked before it is used.
	suspectedAt time.Time
	// stranded is set while this host seems to have lost its links to all replicas.
	stranded bool
	// loss shows that no path to any replica works.
	loss evidence
}

func newLinks(events *event.Logger) *links {
	return &links{events: events, byAddr: make(map[string]*link)}
}

// isStranded reports whether this host seems to have lost its links to all replicas.
func (l *links) isStranded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stranded
}

// isLost reports whether this host's own link to an address is lost although another host reaches
// it.
func (l *links) isLost(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byAddr[addr]
	return l.stranded || (r != nil && r.confirmed)
}

// isSevered reports whether the connection of a request in flight is lost, too. LastRead and anyRead
// are when bytes last arrived from its address and from any replica.
func (l *links) isSevered(f forward.Flight, lastRead, anyRead time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byAddr[f.Addr]
	if r == nil || r.unansweredAt.IsZero() {
		return false
	}
	r.loss.heard(lastRead)
	l.loss.heard(anyRead)
	return (r.confirmed && r.loss.isStrong(f.Repeatable)) ||
		(l.stranded && l.loss.isStrong(f.Repeatable) && !r.unansweredAt.Before(l.loss.since))
}

// reachedElsewhere records that a replica responded to a new connection of another host, which was
// asked after this host's last check.
func (l *links) reachedElsewhere(addr string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.byAddr[addr]; r != nil && !r.unansweredAt.IsZero() {
		r.loss.add(r.unansweredAt, now)
		l.loss.add(r.unansweredAt, now)
	}
}

// discardEvidence discards what was observed before a pause of this host.
func (l *links) discardEvidence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loss = evidence{}
	for _, r := range l.byAddr {
		r.loss, r.unansweredAt = evidence{}, time.Time{}
	}
}

func (l *links) linkLocked(addr string) *link {
	r := l.byAddr[addr]
	if r == nil {
		r = &link{}
		l.byAddr[addr] = r
	}
	return r
}

// use returns how the link to a replica may be used for a request.
func (l *links) use(record replica.Record, now time.Time) condition {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.linkLocked(record.Addr)
	r.usedAt, r.record = now, record
	switch {
	case r.isAvoided(now) || l.stranded:
		return unusable
	case !l.suspectedAt.IsZero() && !r.heardAt.After(l.suspectedAt):
		return doubtful
	default:
		return usable
	}
}

// heard records that a replica answered or accepted a connection over its link.
func (l *links) heard(addr string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.linkLocked(addr)
	r.heardAt = now
	l.discardLocked(r)
	if !r.lost && l.suspectedAt.IsZero() {
		return
	}
	if r.confirmed {
		l.events.Log(event.LinkRegained, event.Fields{"replica": r.record.ID, "addr": addr, "lost_ms": now.Sub(r.lostAt).Milliseconds()})
	}
	r.lost, r.confirmed = false, false
	l.updateLocked()
}

// discardLocked discards what seemed to show that the path to a replica, or to all, is lost.
func (l *links) discardLocked(r *link) {
	r.loss, l.loss, r.unansweredAt = evidence{}, evidence{}, time.Time{}
}

// failed records that no connection to a replica could be opened.
func (l *links) failed(addr string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.linkLocked(addr); !r.isAvoided(now) {
		r.lost, r.lostAt = true, now
	}
}

// confirm records that another host reaches a replica to which this host could not open a
// connection. One lost link puts the others in doubt. It reports whether that is new.
func (l *links) confirm(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.linkLocked(addr)
	if !r.lost || r.confirmed {
		return false
	}
	r.confirmed = true
	linksLost.Inc()
	l.events.Log(event.LinkLost, event.Fields{"replica": r.record.ID, "addr": addr,
		"heard_ms": r.lostAt.Sub(r.heardAt).Milliseconds()})
	if l.suspectedAt.IsZero() {
		l.suspectedAt = r.lostAt
	}
	l.updateLocked()
	return true
}

// refute records that other hosts do not reach a replica either, so that not the link is lost.
func (l *links) refute(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byAddr[addr]
	if r == nil {
		return
	}
	// New connections of all hosts fail, so earlier rounds do not show a lost path of this one.
	l.discardLocked(r)
	if !r.confirmed {
		r.lost = false
	}
}

// suspect puts all links in doubt.
func (l *links) suspect(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectedAt = now
}

// updateLocked determines whether this host is stranded. It ends the doubt about all links if one
// works and none is lost.
func (l *links) updateLocked() {
	lost, works := 0, false
	var firstLost time.Time
	for _, r := range l.byAddr {
		if r.confirmed && (lost == 0 || r.lostAt.Before(firstLost)) {
			firstLost = r.lostAt
		}
		if r.confirmed {
			lost++
		}
	}
	for _, r := range l.byAddr {
		works = works || (!r.lost && r.heardAt.After(firstLost))
	}
	if lost == 0 && works {
		l.suspectedAt = time.Time{}
	}
	if stranded := lost >= minLostLinks && !works; stranded != l.stranded {
		l.stranded = stranded
		l.events.Log(event.HostStranded, event.Fields{"stranded": stranded, "links_lost": lost})
	}
}

// beginCheck returns the check in progress of a link, or begins one; isNew is set then, and the
// caller must end it.
func (l *links) beginCheck(addr string, now time.Time) (c *check, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.linkLocked(addr)
	if r.check != nil {
		return r.check, false
	}
	r.check = &check{done: make(chan struct{}), started: now}
	return r.check, true
}

// endCheck ends a check with its result.
func (l *links) endCheck(addr string, c *check, result checkResult, now time.Time) {
	if result == opened {
		l.heard(addr, now)
	} else {
		result.count()
		l.failed(addr, now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.linkLocked(addr)
	switch result {
	case refused:
		l.discardLocked(r) // the path works
	case unanswered:
		r.unansweredAt = c.started
	}
	if result != opened && !r.confirmed {
		l.events.Log(event.LinkCheckFailed, event.Fields{"replica": r.record.ID, "addr": addr, "cause": result.String(),
			"ms": now.Sub(c.started).Milliseconds()})
	}
	c.result = result
	close(c.done)
	r.check = nil
}

// recordOf returns the record of the replica that last used an address.
func (l *links) recordOf(addr string) replica.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.linkLocked(addr).record
}

// lastHeardExcept returns the replica that was heard last over a link that is not lost, other than
// the one at an address.
func (l *links) lastHeardExcept(addr string) (record replica.Record, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *link
	for other, r := range l.byAddr {
		if other != addr && !r.lost && !r.heardAt.IsZero() && (best == nil || r.heardAt.After(best.heardAt)) {
			best = r
		}
	}
	if best == nil {
		return replica.Record{}, false
	}
	return best.record, true
}

// dueProbes returns the replicas of up to limit lost links, those first that were checked least
// recently.
func (l *links) dueProbes(limit int, now time.Time) []replica.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []*link
	for _, r := range l.byAddr {
		if r.confirmed && r.check == nil {
			due = append(due, r)
		}
	}
	return probed(due, limit, now)
}

// dueRounds returns the replicas at the given addresses whose links are lost and are to be checked
// next: at once if the last check was a round of evidence.
func (l *links) dueRounds(owing map[string]bool, now time.Time) []replica.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []*link
	for addr := range owing {
		r := l.byAddr[addr]
		if r == nil || r.check != nil || (!r.confirmed && !l.stranded) {
			continue
		}
		isRound := !r.unansweredAt.IsZero() && r.loss.until.After(r.unansweredAt)
		if isRound || now.Sub(r.probedAt) >= probeInterval {
			due = append(due, r)
		}
	}
	return probed(due, maxProbes, now)
}

// probed returns the replicas of up to limit links, those first that were probed least recently.
func probed(due []*link, limit int, now time.Time) []replica.Record {
	slices.SortFunc(due, func(a, b *link) int { return a.probedAt.Compare(b.probedAt) })
	records := make([]replica.Record, 0, limit)
	for _, r := range due[:min(limit, len(due))] {
		r.probedAt = now
		records = append(records, r.record)
	}
	return records
}

// forgetUnused forgets the links that are not used.
func (l *links) forgetUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr, r := range l.byAddr {
		if r.check == nil && now.Sub(r.usedAt) > unusedLinkAge {
			delete(l.byAddr, addr)
		}
	}
	l.updateLocked()
}
