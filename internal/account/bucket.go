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
	// Owner measured Mark, Lost and the holdings' times on its monotonic
	// clock. Another owner starts again from its own clock without a refill.
	Owner structs.Origin `cbor:"4,keyasint"`
	// Mark is the time up to which the bucket was refilled.
	Mark time.Duration `cbor:"5,keyasint"`
	// Lost are the times, in order, in which the bucket was full together with the held
	// tokens, so that its refill was lost. A report that tokens had been spent before
	// such a time brings the refill back.
	Lost []span `cbor:"6,keyasint,omitempty"`
}

// span is a time from one point to another.
type span struct {
	From time.Duration `cbor:"1,keyasint"`
	To   time.Duration `cbor:"2,keyasint"`
}

// maxLost limits the remembered spans; the oldest are dropped, which loses their refill.
const maxLost = 16

// holding is what one host holds of an account's tokens.
type holding struct {
	// Seq is the last request applied and Granted its answer.
	Seq     uint64 `cbor:"1,keyasint"`
	Granted int64  `cbor:"2,keyasint,omitempty"`
	// Held are the tokens granted and neither reported spent nor returned.
	Held int64 `cbor:"3,keyasint,omitempty"`
	// Ahead are the held tokens that the host did not need at once after its last
	// request.
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
		b.lose(b.Mark+elapsed-time.Duration(math.Floor((due-room)/b.Rate*float64(time.Second))), now, room)
	}
	b.Mark = now
}

// lose remembers a span of lost refill. Without room it continues the last one.
func (b *bucket) lose(from, to time.Duration, room float64) {
	// Operations and decisions share the slice, so it is copied before a change.
	b.Lost = append([]span(nil), b.Lost...)
	if b.losing() && room <= levelTolerance {
		b.Lost[len(b.Lost)-1].To = to
		return
	}
	b.Lost = append(b.Lost, span{from, to})
	b.Lost = b.Lost[max(0, len(b.Lost)-maxLost):]
}

// losing reports whether refill is being lost, which a report may bring back.
func (b *bucket) losing() bool {
	return len(b.Lost) > 0 && b.Lost[len(b.Lost)-1].To == b.Mark
}

// spend takes tokens out of what hosts hold and brings back the refill that was lost
// because they were still counted. Each moment after the spending is credited at most
// once, the earliest first, as a bucket that knew of the spending would have refilled.
func (b *bucket) spend(tokens int64, at time.Duration) {
	left := float64(tokens)
	var kept []span
	for _, lost := range b.Lost {
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
			kept = append(kept, span{lost.From, from})
		}
		if credited < lost.To {
			kept = append(kept, span{credited, lost.To})
		}
	}
	b.Lost = kept[max(0, len(kept)-maxLost):]
}

// takeOver makes the owner's clock the bucket's. Nothing is refilled for the time that
// another owner measured.
func (b *bucket) takeOver(clock structs.OwnerClock) {
	b.Owner = clock.Self
	b.Mark = clock.Mono
	b.Lost = nil
}

// limit sets the account's rate and burst. A larger burst is filled by the rate.
func (b *bucket) limit(rate float64, burst, held int64) {
	if b.Rate != rate || b.Burst != burst {
		// Lost refill is worth what it was under the old limits.
		b.Lost = nil
	}
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
