package turns

import (
	"maps"
	"sync"
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// copyLease is how long an owner may grant turns of a program without a record after the record that
	// names the host for their copies.
	copyLease = time.Minute
	// copyRetention is how long copies are kept. An owner that is paused for longer than copyLease grants nothing
	// from its preallocation, so that a sealed entry is not needed any more.
	copyRetention = 3 * copyLease
)

// copyKey identifies a program and the owner that grants its turns.
type copyKey struct {
	writer  int64
	program programKey
}

// copiedGrants holds the turns of a program that one owner has granted without a record.
type copiedGrants struct {
	turns map[string]int
	// sealed is set once the copies were read: the owner's preallocation has ended then.
	sealed bool
	// usedAt is when a copy was last added or read.
	usedAt boottime.Instant
}

// grantCopies holds copies of what other owners have granted without a record. It is safe for concurrent use.
type grantCopies struct {
	mu    sync.Mutex
	items map[copyKey]*copiedGrants
}

// keep adds a copy. It reports false if the grants of that owner are sealed.
func (c *grantCopies) keep(key copyKey, turn string, tokens int, now boottime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.itemLocked(key, now)
	if g.sealed {
		return false
	}
	g.turns[turn] = tokens
	return true
}

// seal returns the copies of an owner's grants, and accepts no further ones.
func (c *grantCopies) seal(key copyKey, now boottime.Instant) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.itemLocked(key, now)
	g.sealed = true
	return maps.Clone(g.turns)
}

func (c *grantCopies) itemLocked(key copyKey, now boottime.Instant) *copiedGrants {
	g := c.items[key]
	if g == nil {
		g = &copiedGrants{turns: make(map[string]int)}
		if c.items == nil {
			c.items = make(map[copyKey]*copiedGrants)
		}
		c.items[key] = g
	}
	g.usedAt = now
	return g
}

// expire drops the copies that were not used for copyRetention.
func (c *grantCopies) expire(now boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.items, func(_ copyKey, g *copiedGrants) bool { return now.Sub(g.usedAt) > copyRetention })
}
