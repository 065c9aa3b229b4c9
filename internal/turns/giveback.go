package turns

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"
)

const (
	// idleDelay is how long a program pauses until its owner gives the preallocation back. It is longer than
	// most pauses between two turns, so that few turns wait for a record for this reason.
	idleDelay = 600 * time.Millisecond
	// minIdleCheck is the minimum interval between two checks of a partition for programs that
	// pause, whose records share an append.
	minIdleCheck = 150 * time.Millisecond
	// slowAppend is the average duration of an append from which on preallocations are not given back:
	// the next turns would wait as long.
	slowAppend = 50 * time.Millisecond
)

// giveBackLocked gives back the preallocation of each program that has been inactive for idle. Once this owner
// has stopped or is lost, nobody may know how much of it was used, so that a part of the budget would be
// missing. Turns that were granted without a record get one. The record that gives the rest back is a turn without
// tokens that callers cannot name, which owners of any build can read. It returns the time until the next
// program has been inactive as long, or 0 if there is none.
func (o *Owner) giveBackLocked(p *partition, now time.Time, idle time.Duration) (next time.Duration) {
	if !p.loaded {
		return 0
	}
	for key, g := range p.programs {
		if g.budget <= 0 || g.givingBack || g.preallocation == 0 && len(g.unrecorded) == 0 {
			continue
		}
		if remaining := idle - now.Sub(g.activeAt); remaining > 0 {
			if next == 0 || remaining < next {
				next = remaining
			}
			continue
		}
		g.givingBack = true
		o.recordOpenLocked(p, key, g, g.unrecorded, true)
		o.enqueueLocked(p, releaseChange(p, key, g))
	}
	return next
}

// recordOpenLocked queues records for the turns of a program that were granted without one; open holds their tokens.
// IsLast is set if this owner has granted them and preallocates nothing further.
func (o *Owner) recordOpenLocked(p *partition, key programKey, g *program, open map[string]int, isLast bool) {
	for turn, tokens := range open {
		if p.turns[turn] == nil {
			o.enqueueLocked(p, &change{isLast: isLast, done: make(chan struct{}), turn: Turn{ID: turn, Account: key.account,
				Program: key.program, State: Open, Tokens: tokens, Expiry: g.expiry, offset: -1}})
		}
	}
}

// releaseChange returns the record by which this owner gives back what it has not granted.
func releaseChange(p *partition, key programKey, g *program) *change {
	return &change{isLast: true, isRelease: true, done: make(chan struct{}), turn: Turn{ID: releaseID(p.writer, key),
		Account: key.account, Program: key.program, State: Closed, Expiry: g.expiry, offset: -1}}
}

// releaseID returns the ID of the record by which an owner gives the preallocation of a program back.
func releaseID(writer int64, key programKey) string {
	hash := sha256.Sum256([]byte(key.account + separator + key.program))
	return separator + strconv.FormatUint(uint64(writer), 16) + "-" + hex.EncodeToString(hash[:])
}

// watchIdleLocked starts a check for programs that pause, unless one is due or the owner drains, which
// gives everything back at once.
func (o *Owner) watchIdleLocked(p *partition, delay time.Duration) {
	if p.idleCheck == nil && !p.draining {
		p.idleCheck = time.AfterFunc(delay, func() { o.checkIdle(p) })
	}
}

// checkIdle gives back the preallocations of the programs of a partition that pause.
func (o *Owner) checkIdle(p *partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleCheck = nil
	if p.draining {
		return
	}
	if !p.failingSince.IsZero() || o.appendTime.Mean() >= slowAppend {
		o.watchIdleLocked(p, idleDelay)
		return
	}
	if next := o.giveBackLocked(p, time.Now(), idleDelay); next > 0 {
		o.watchIdleLocked(p, max(next, minIdleCheck))
	}
	if len(p.pending) > 0 {
		o.deferWriteLocked(p)
	}
}

// withdrawReleasesLocked drops the records by which preallocations of a batch are given back that the
// store did not execute. The programs may need them while the store is away.
func (o *Owner) withdrawReleasesLocked(p *partition, batch []*change) {
	if p.draining {
		return
	}
	for _, c := range batch {
		g := p.programLocked(&c.turn)
		if !c.isRelease || c.sent || p.hasOtherPendingLocked(g, c) {
			continue
		}
		g.preallocation = g.recorded
		c.completeLocked()
		g.givingBack = false
		o.watchIdleLocked(p, idleDelay)
	}
	p.dropCompletedLocked()
}

// hasOtherPendingLocked reports whether another change of a program is waiting to be stored. The
// store may have its record.
func (p *partition) hasOtherPendingLocked(g *program, c *change) bool {
	for _, other := range p.pending {
		if other != c && p.programLocked(&other.turn) == g {
			return true
		}
	}
	return false
}
