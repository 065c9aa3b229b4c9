package fleet

import (
	"time"

	"cowslipgw/internal/structs"
)

// gossip holds what a host heard of the others, directly and through their heartbeats.
// It is not safe for concurrent use.
type gossip struct {
	// direct is when a heartbeat of the host arrived.
	direct map[structs.HostID]time.Time
	// heard is when the host was alive, by its own heartbeat or by what others heard.
	heard map[structs.HostID]heardHost
	// peers are the latest reports on records.
	peers map[structs.HostID]peerReport
}

type heardHost struct {
	incarnation structs.Incarnation
	at          time.Time
	logDown     bool
}

type peerReport struct {
	known   time.Time
	offsets map[string]structs.Offset
}

func newGossip() *gossip {
	return &gossip{
		direct: make(map[structs.HostID]time.Time),
		heard:  make(map[structs.HostID]heardHost),
		peers:  make(map[structs.HostID]peerReport),
	}
}

// receive takes in a heartbeat that was sent at the given time or later. The zero
// time means that its delay is not known; it then shows that the sender lives and
// nothing else. view is the view that the heartbeat names, or nil if unknown.
func (h *gossip) receive(beat *Heartbeat, now, sent time.Time, view *View) {
	h.direct[beat.From] = now
	if sent.IsZero() {
		return
	}
	h.note(beat.From, heardHost{beat.Incarnation, sent, beat.LogDown})
	report := peerReport{known: sent.Add(-beat.Known), offsets: beat.Offsets}
	if old, found := h.peers[beat.From]; !found || !report.known.Before(old.known) {
		h.peers[beat.From] = report
	}
	if view == nil || len(beat.Ages) != len(view.Hosts) {
		return
	}
	for i, host := range view.Hosts {
		if age, exact := decodeAge(beat.Ages[i]); exact && host.ID != beat.From {
			h.note(host.ID, heardHost{host.Incarnation, sent.Add(-age), bit(beat.Down, i)})
		}
	}
}

// note keeps the newer of two reports.
func (h *gossip) note(id structs.HostID, report heardHost) {
	old, found := h.heard[id]
	if found && (old.incarnation > report.incarnation || !report.at.After(old.at)) {
		return
	}
	h.heard[id] = report
}

// keep forgets the hosts that are not in the view.
func (h *gossip) keep(view *View) {
	for id, report := range h.heard {
		if !view.Has(id, report.incarnation) {
			delete(h.heard, id)
		}
	}
	for id := range h.direct {
		if view.Index(id) < 0 {
			delete(h.direct, id)
		}
	}
	for id := range h.peers {
		if view.Index(id) < 0 {
			delete(h.peers, id)
		}
	}
}

// age is the time since the host was heard, at most the oldest that a heartbeat
// can express.
func (h *gossip) age(host Host, now time.Time) (time.Duration, bool) {
	report, found := h.heard[host.ID]
	if !found || report.incarnation != host.Incarnation {
		return oldestAge * ageStep, false
	}
	return now.Sub(report.at), report.logDown
}
