package placement

import "time"

// budget is a pool's share of the weight store's rate. A pool's burst is its largest
// model, so that every model can be paid for; a new planner begins without any.
type budget struct {
	level float64
	at    time.Time
}

// refill adds what the time since the last call earned and returns the level in
// bytes.
func (b *budget) refill(now time.Time, rate, burst int64) int64 {
	if !b.at.IsZero() {
		b.level += now.Sub(b.at).Seconds() * float64(rate)
	}
	b.at = now
	b.level = min(b.level, float64(burst))
	return int64(b.level)
}

// spend takes the bytes of an order.
func (b *budget) spend(size int64) { b.level -= float64(size) }
