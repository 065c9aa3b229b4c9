package placement

import "time"

// budget is the token bucket, in bytes, for a pool's share of the weight store's
// rate. Its burst is the size of the pool's largest model, so that every model can
// be loaded. A new planner starts with an empty bucket.
type budget struct {
	level float64
	at    time.Time
}

// refill adds the bytes for the time since the last call and returns the level.
func (b *budget) refill(now time.Time, rate, burst int64) int64 {
	if !b.at.IsZero() {
		b.level += now.Sub(b.at).Seconds() * float64(rate)
	}
	b.at = now
	b.level = min(b.level, float64(burst))
	return int64(b.level)
}

// spend takes the bytes of one load order out of the bucket.
func (b *budget) spend(size int64) { b.level -= float64(size) }
