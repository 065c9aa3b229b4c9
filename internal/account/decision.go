package account

import "time"

// Decision is the outcome of a Take.
type Decision struct {
	Allowed bool
	// Limit is the account's burst. Remaining is the number of tokens left, as far
	// as this host can tell.
	Limit, Remaining int64
	// Reset is the time until the bucket is full.
	Reset time.Duration
	// RetryAfter is the time until a refused request could be admitted.
	RetryAfter time.Duration
}
