package account

import "time"

// tokenBatch holds the unspent tokens of one grant.
type tokenBatch struct {
	tokens int64
	// requestedAt is when the grant was requested, receivedAt when it arrived.
	requestedAt, receivedAt time.Time
}

// tokenBatches holds a host's tokens for one account, oldest first.
type tokenBatches []tokenBatch

// take takes one token that may still be spent.
func (l *tokenBatches) take(now time.Time) bool {
	for i := range *l {
		if (*l)[i].tokens > 0 && now.Sub((*l)[i].requestedAt) < GrantLifetime {
			(*l)[i].tokens--
			return true
		}
	}
	return false
}

// count returns the number of tokens that may still be spent.
func (l tokenBatches) count(now time.Time) int64 {
	var total int64
	for _, one := range l {
		if now.Sub(one.requestedAt) < GrantLifetime {
			total += one.tokens
		}
	}
	return total
}

// expire removes the tokens that have been unused for the given time and those that
// may no longer be spent. It returns the number of removed tokens.
func (l *tokenBatches) expire(now time.Time, unused time.Duration) int64 {
	var expired int64
	var kept tokenBatches
	for _, one := range *l {
		if now.Sub(one.receivedAt) >= unused || now.Sub(one.requestedAt) >= GrantLifetime {
			expired += one.tokens
		} else if one.tokens > 0 {
			kept = append(kept, one)
		}
	}
	*l = kept
	return expired
}
