package account

import (
	"math"
	"time"

	"cowslipgw/internal/structs"
)

const (
	// GrantLifetime is how long a host may spend a granted token, counted from when it
	// sent the request. The owner counts the tokens of a gone host as spent only after
	// this time, so that a host that was evicted and still runs cannot add them to what
	// was refilled meanwhile.
	GrantLifetime = 2 * time.Second
	// reportedWithin is how recently a host must have asked for its report to count as
	// complete.
	reportedWithin = 100 * time.Millisecond
	// idleBucket is how long a full bucket is kept without a request.
	idleBucket = time.Minute
	// prefetchFrom is the part of the burst below which no tokens are granted ahead of
	// need, so that a host does not hold what another one needs.
	prefetchFrom = 0.5
	// prefetchShare is the part of the tokens above prefetchFrom that one grant may take
	// ahead of need.
	prefetchShare = 0.25
	// levelTolerance absorbs rounding of the level; it is far below one token.
	levelTolerance = 1e-9
)

// bucket is the token bucket of one account. The level plus the tokens that hosts hold
// never exceeds the burst, unless the burst was just lowered.
type bucket struct {
	Rate  float64 `cbor:"1,keyasint"`
	Burst int64   `cbor:"2,keyasint"`
	Level float64 `cbor:"3,keyasint"`
	// Owner measured Mark, LostFrom, LostTo and the holdings' times on its monotonic
	// clock. Another owner starts again from its own clock without a refill.
	Owner structs.Origin `cbor:"4,keyasint"`
	// Mark is the time up to which the bucket was refilled.
	Mark time.Duration `cbor:"5,keyasint"`
	// From LostFrom to LostTo the bucket was full together with the held tokens, so that
	// its refill was lost. A report that tokens had been spent before that time brings
	// the refill back.
	LostFrom time.Duration `cbor:"6,keyasint,omitempty"`
	LostTo   time.Duration `cbor:"7,keyasint,omitempty"`
}

// holding is what one host holds of an account's tokens.
type holding struct {
	// Seq is the last request applied and Granted its answer.
	Seq     uint64 `cbor:"1,keyasint"`
	Granted int64  `cbor:"2,keyasint,omitempty"`
	// Held are the tokens granted and neither reported spent nor returned.
	Held int64 `cbor:"3,keyasint,omitempty"`
	// Ahead are the tokens of the last grant that the host did not need at once.
	Ahead int64 `cbor:"4,keyasint,omitempty"`
	// Contact is the time of the last request.
	Contact time.Duration `cbor:"5,keyasint,omitempty"`
}

// refill adds the tokens for the time since Mark.
func (b *bucket) refill(now time.Duration, held int64) {
	if now <= b.Mark {
		return
	}
	elapsed := now - b.Mark
	due := b.Rate * elapsed.Seconds()
	room := max(0, float64(b.Burst)-float64(held)-b.Level)
	b.Level += min(due, room)
	if due > room {
		continued := room <= levelTolerance && b.LostTo == b.Mark && b.LostFrom < b.LostTo
		if !continued {
			b.LostFrom = now - time.Duration(math.Floor((due-room)/b.Rate*float64(time.Second)))
		}
		b.LostTo = now
	}
	b.Mark = now
}

// spend takes tokens out of what hosts hold and brings back the refill that was lost
// because they were still counted. The time from the spending on is credited at most
// once.
func (b *bucket) spend(tokens int64, at time.Duration) {
	from := max(at, b.LostFrom)
	if b.LostTo <= from {
		return
	}
	due := b.Rate * (b.LostTo - from).Seconds()
	if due <= float64(tokens) {
		b.Level += due
		b.LostTo = from
		return
	}
	b.Level += float64(tokens)
	b.LostFrom = from + time.Duration(math.Ceil(float64(tokens)/b.Rate*float64(time.Second)))
}

// takeOver makes the owner's clock the bucket's. Nothing is refilled for the time that
// another owner measured.
func (b *bucket) takeOver(clock structs.OwnerClock) {
	b.Owner = clock.Self
	b.Mark = clock.Mono
	b.LostFrom = 0
	b.LostTo = 0
}

// limit sets the account's rate and burst. A larger burst is filled by the rate.
func (b *bucket) limit(rate float64, burst, held int64) {
	b.Rate = rate
	b.Burst = burst
	b.Level = min(b.Level, max(0, float64(burst-held)))
}

// grant returns how many tokens a request gets: what it needs as far as there is, and
// beyond that a part of what is plenty.
func (b *bucket) grant(req GrantRequest) int64 {
	available := int64(math.Floor(b.Level + levelTolerance))
	needed := min(max(req.Need, 0), max(available, 0))
	if needed < req.Need || req.Want <= req.Need {
		return needed
	}
	plenty := b.Level - float64(needed) - prefetchFrom*float64(b.Burst)
	ahead := int64(math.Floor(plenty * prefetchShare))
	return needed + max(0, min(req.Want-req.Need, ahead))
}

// until returns the time in which the bucket refills to a number of tokens.
func (b *bucket) until(tokens float64) time.Duration {
	if tokens <= b.Level || b.Rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil((tokens - b.Level) / b.Rate * float64(time.Second)))
}
