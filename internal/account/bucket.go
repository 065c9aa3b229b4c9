package account

import (
	"math"
	"time"

	"cowslipgw/internal/structs"
)

const (
	// GrantLifetime is how long a host may spend a granted token after it sent the
	// request for it. The owner counts the tokens of a departed host as spent only
	// after this time. Otherwise an evicted host that is still running could spend
	// them in addition to tokens that were refilled in the meantime.
	GrantLifetime = 2 * time.Second
	// settledWindow is the maximum age of a host's last request for its report to
	// count as complete.
	settledWindow = 100 * time.Millisecond
	// idleBucketTTL is how long a full bucket is kept without requests.
	idleBucketTTL = time.Minute
	// prefetchThreshold is the fraction of the burst below which no tokens are
	// granted for prefetching, so that a host does not hold tokens that another one
	// needs.
	prefetchThreshold = 0.5
	// prefetchShare is the fraction of the tokens above prefetchThreshold that a
	// single grant may prefetch.
	prefetchShare = 0.25
	// levelTolerance absorbs rounding errors of the level. It is far below one
	// token.
	levelTolerance = 1e-9
)

// bucket is the token bucket of one account. The level plus the tokens held by hosts
// never exceeds the burst, except right after the burst was lowered.
type bucket struct {
	Rate  float64 `cbor:"1,keyasint"`
	Burst int64   `cbor:"2,keyasint"`
	Level float64 `cbor:"3,keyasint"`
	// Owner is the host on whose monotonic clock RefilledAt, LostRefill and the
	// times of the holdings were measured. A new owner restarts them on its own
	// clock, without a refill.
	Owner structs.Origin `cbor:"4,keyasint"`
	// RefilledAt is the time up to which the bucket has been refilled.
	RefilledAt time.Duration `cbor:"5,keyasint"`
	// LostRefill holds, in order, the intervals in which the level plus the held
	// tokens had reached the burst, so that refill was discarded. If a host later
	// reports tokens that it had spent before such an interval, the refill is
	// credited after all.
	LostRefill []interval `cbor:"6,keyasint,omitempty"`
}

// interval is a period of time.
type interval struct {
	From time.Duration `cbor:"1,keyasint"`
	To   time.Duration `cbor:"2,keyasint"`
}

// maxLostIntervals bounds LostRefill. The oldest intervals are dropped, and their
// refill can no longer be credited.
const maxLostIntervals = 16

// holding is the state of the tokens that one host holds of an account.
type holding struct {
	// Seq is the sequence number of the last request applied. Granted is the number
	// of tokens granted in reply.
	Seq     uint64 `cbor:"1,keyasint"`
	Granted int64  `cbor:"2,keyasint,omitempty"`
	// Held is the number of tokens that were granted and not yet reported as spent
	// or returned.
	Held int64 `cbor:"3,keyasint,omitempty"`
	// Prefetched is the part of Held that the host did not need immediately after
	// its last request.
	Prefetched int64 `cbor:"4,keyasint,omitempty"`
	// LastRequest is the time of the last request.
	LastRequest time.Duration `cbor:"5,keyasint,omitempty"`
}

// refill adds the tokens for the time since RefilledAt.
func (b *bucket) refill(now time.Duration, held int64) {
	if now <= b.RefilledAt {
		return
	}
	elapsed := now - b.RefilledAt
	due := b.Rate * elapsed.Seconds()
	room := max(0, float64(b.Burst)-float64(held)-b.Level)
	b.Level += min(due, room)
	if due > room {
		b.recordLostRefill(b.RefilledAt+elapsed-time.Duration(math.Floor((due-room)/b.Rate*float64(time.Second))), now, room)
	}
	b.RefilledAt = now
}

// recordLostRefill records an interval of discarded refill. It extends the last
// interval if refill has been discarded continuously since then.
func (b *bucket) recordLostRefill(from, to time.Duration, room float64) {
	// Operations and decisions share the slice, so it is copied before it is
	// modified.
	b.LostRefill = append([]interval(nil), b.LostRefill...)
	if b.losingRefill() && room <= levelTolerance {
		b.LostRefill[len(b.LostRefill)-1].To = to
		return
	}
	b.LostRefill = append(b.LostRefill, interval{from, to})
	b.LostRefill = b.LostRefill[max(0, len(b.LostRefill)-maxLostIntervals):]
}

// losingRefill reports whether refill is currently being discarded. A host's report
// may restore it.
func (b *bucket) losingRefill() bool {
	return len(b.LostRefill) > 0 && b.LostRefill[len(b.LostRefill)-1].To == b.RefilledAt
}

// settleSpend settles tokens that were spent at the given time, and credits the
// refill that was discarded because they still counted as held. The earliest
// intervals after that time are credited first, and each at most once, which gives
// the level of a bucket that had learned of the spending at once.
func (b *bucket) settleSpend(tokens int64, at time.Duration) {
	left := float64(tokens)
	var kept []interval
	for _, lost := range b.LostRefill {
		from := max(at, lost.From)
		due := min(left, b.Rate*(lost.To-from).Seconds())
		if due <= 0 {
			kept = append(kept, lost)
			continue
		}
		b.Level += due
		left -= due
		credited := from + time.Duration(math.Ceil(due/b.Rate*float64(time.Second)))
		if lost.From < from {
			kept = append(kept, interval{lost.From, from})
		}
		if credited < lost.To {
			kept = append(kept, interval{credited, lost.To})
		}
	}
	b.LostRefill = kept[max(0, len(kept)-maxLostIntervals):]
}

// resetClock moves the bucket to the new owner's clock. There is no refill for the
// time measured by the previous owner.
func (b *bucket) resetClock(clock structs.OwnerClock) {
	b.Owner = clock.Owner
	b.RefilledAt = clock.Monotonic
	b.LostRefill = nil
}

// setLimits sets the account's rate and burst. After an increase of the burst, the
// additional tokens accrue at the rate.
func (b *bucket) setLimits(rate float64, burst, held int64) {
	if b.Rate != rate || b.Burst != burst {
		// Discarded refill was measured under the old limits.
		b.LostRefill = nil
	}
	b.Rate = rate
	b.Burst = burst
	b.Level = min(b.Level, max(0, float64(burst-held)))
}

// grant returns the number of tokens that a request gets: as many of the needed
// tokens as are available and, if all of them are, a share of the surplus for
// prefetching.
func (b *bucket) grant(req GrantRequest) int64 {
	available := int64(math.Floor(b.Level + levelTolerance))
	needed := min(max(req.Need, 0), max(available, 0))
	if needed < req.Need || req.Want <= req.Need {
		return needed
	}
	surplus := b.Level - float64(needed) - prefetchThreshold*float64(b.Burst)
	prefetch := int64(math.Floor(surplus * prefetchShare))
	return needed + max(0, min(req.Want-req.Need, prefetch))
}

// timeUntil returns how long the bucket takes to refill to the given number of
// tokens.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	if tokens <= b.Level || b.Rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil((tokens - b.Level) / b.Rate * float64(time.Second)))
}
