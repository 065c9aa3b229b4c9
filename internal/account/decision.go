package account

import "time"

// Decision is the outcome of asking for one request's rate.
type Decision struct {
	Allowed bool
	// Limit is the account's burst and Remaining what this host knows to be left.
	Limit, Remaining int64
	// Reset is the time until the bucket is full.
	Reset time.Duration
	// RetryAfter is when a refused request could be admitted.
	RetryAfter time.Duration
}
