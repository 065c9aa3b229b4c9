package peers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullMeshSize is the number of hosts up to which each host sends its heartbeats to all
	// others.
	fullMeshSize = 16
	// watchers is the number of live hosts that watch a host in a larger fleet. More would
	// detect a loss hardly sooner, and fewer could be lost together with the host.
	watchers = 3
	// spareWatchers is the number of further hosts that receive the heartbeats of a host,
	// since hosts learn of losses at different moments and disagree on its watchers.
	spareWatchers = 2
)

// ringLocked returns all other hosts in the order of the ring, starting after this host.
func (t *Table) ringLocked() []*member {
	if t.ring == nil {
		t.ring = make([]*member, 0, len(t.members))
		for _, m := range t.members {
			t.ring = append(t.ring, m)
		}
		own := xxhash.Sum64String(t.self.ID)
		// Unsigned differences order the positions from this host's own onward.
		slices.SortFunc(t.ring, func(a, b *member) int { return cmp.Compare(a.position-own, b.position-own) })
	}
	return t.ring
}

// fullMeshLocked reports whether the fleet is so small that all hosts watch each other.
func (t *Table) fullMeshLocked() bool { return len(t.members) < fullMeshSize }

// receiversLocked returns the hosts that receive this host's heartbeats: its watchers, which
// are its next live successors, and a few more.
func (t *Table) receiversLocked() []Host {
	return t.takeLocked(t.ringLocked(), watchers+spareWatchers)
}

// takeLocked returns the hosts of a sequence up to the n-th live one.
func (t *Table) takeLocked(sequence []*member, n int) []Host {
	var taken []Host
	for _, m := range sequence {
		if n == 0 && !t.fullMeshLocked() {
			break
		}
		taken = append(taken, m.host)
		if m.alive() {
			n--
		}
	}
	return taken
}

// watchLocked updates which hosts this host watches: its predecessors up to the last live one
// of which it is a watcher.
func (t *Table) watchLocked() {
	now := t.now()
	ring := t.ringLocked()
	remaining := watchers
	for n := len(ring) - 1; n >= 0; n-- {
		m := ring[n]
		watched := remaining > 0 || t.fullMeshLocked()
		switch {
		case watched && m.watchedSince == 0:
			m.missing = m.down()
			m.watchedSince, t.view = now, nil
		case !watched && m.watchedSince != 0:
			m.watchedSince, t.view = 0, nil
		}
		if m.lastHeartbeat != 0 && !m.down() {
			remaining--
		}
	}
}
