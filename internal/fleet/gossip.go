package fleet

import (
	"time"

	"cowslipgw/internal/structs"
)

// gossip holds the liveness and log state of the other hosts, as received in their own
// heartbeats or indirectly in the heartbeats of others. It is not safe for concurrent
// use.
type gossip struct {
	// lastHeartbeat is the arrival time of the last heartbeat that each host sent to this
	// one.
	lastHeartbeat map[structs.HostID]time.Time
	// reports holds the newest direct or indirect liveness report on each host.
	reports map[structs.HostID]hostReport
	// peers holds the newest report of each sender on its own log records.
	peers map[structs.HostID]peerReport
}

// hostReport states that an incarnation of a host was alive at a point in time, and
// whether it had lost the log then.
type hostReport struct {
	incarnation structs.Incarnation
	at          time.Time
	logDown     bool
}

// peerReport states that, at completeAt, the log held no records beyond offsets.
type peerReport struct {
	completeAt time.Time
	offsets    map[string]structs.Offset
}

func newGossip() *gossip {
	return &gossip{
		lastHeartbeat: make(map[structs.HostID]time.Time),
		reports:       make(map[structs.HostID]hostReport),
		peers:         make(map[structs.HostID]peerReport),
	}
}

// receive processes a heartbeat that was sent at the given time or later. A zero sent
// time means that the delay of the heartbeat is unknown; it then only counts as a sign
// of life of its sender. view is the view that the heartbeat refers to, or nil if this
// host does not have it.
func (g *gossip) receive(beat *Heartbeat, now, sent time.Time, view *View) {
	g.lastHeartbeat[beat.From] = now
	if sent.IsZero() {
		return
	}
	g.mergeReport(beat.From, hostReport{beat.Incarnation, sent, beat.LogDown})
	report := peerReport{completeAt: sent.Add(-beat.Known), offsets: beat.Offsets}
	if old, found := g.peers[beat.From]; !found || !report.completeAt.Before(old.completeAt) {
		g.peers[beat.From] = report
	}
	if view == nil || len(beat.Ages) != len(view.Hosts) {
		return
	}
	for i, host := range view.Hosts {
		if age, exact := decodeAge(beat.Ages[i]); exact && host.ID != beat.From {
			g.mergeReport(host.ID, hostReport{host.Incarnation, sent.Add(-age), bit(beat.Down, i)})
		}
	}
}

// mergeReport stores the report on a host unless the stored one is newer.
func (g *gossip) mergeReport(id structs.HostID, report hostReport) {
	old, found := g.reports[id]
	if found && (old.incarnation > report.incarnation || !report.at.After(old.at)) {
		return
	}
	g.reports[id] = report
}

// prune removes the state of hosts and incarnations that are not in the view.
func (g *gossip) prune(view *View) {
	for id, report := range g.reports {
		if !view.Has(id, report.incarnation) {
			delete(g.reports, id)
		}
	}
	for id := range g.lastHeartbeat {
		if view.Index(id) < 0 {
			delete(g.lastHeartbeat, id)
		}
	}
	for id := range g.peers {
		if view.Index(id) < 0 {
			delete(g.peers, id)
		}
	}
}

// age returns the time since the last sign of life of the host and the LogDown flag
// reported with it. Without a report on this incarnation it returns the maximum age that
// a heartbeat can encode.
func (g *gossip) age(host Host, now time.Time) (time.Duration, bool) {
	report, found := g.reports[host.ID]
	if !found || report.incarnation != host.Incarnation {
		return maxEncodedAge * ageUnit, false
	}
	return now.Sub(report.at), report.logDown
}
