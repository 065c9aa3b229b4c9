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
func (b *tokenBatches) take(now time.Time) bool {
	for i := range *b {
		if (*b)[i].tokens > 0 && now.Sub((*b)[i].requestedAt) < GrantLifetime {
			(*b)[i].tokens--
			return true
		}
	}
	return false
}

// count returns the number of tokens that may still be spent.
func (b tokenBatches) count(now time.Time) int64 {
	var total int64
	for _, batch := range b {
		if now.Sub(batch.requestedAt) < GrantLifetime {
			total += batch.tokens
		}
	}
	return total
}

// expire removes the tokens that have been unused for the given time and those that
// may no longer be spent. It returns the number of removed tokens.
func (b *tokenBatches) expire(now time.Time, unused time.Duration) int64 {
	var expired int64
	var kept tokenBatches
	for _, batch := range *b {
		if now.Sub(batch.receivedAt) >= unused || now.Sub(batch.requestedAt) >= GrantLifetime {
			expired += batch.tokens
		} else if batch.tokens > 0 {
			kept = append(kept, batch)
		}
	}
	*b = kept
	return expired
}
