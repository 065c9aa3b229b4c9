package account

import "time"

// lot is a number of tokens of one grant.
type lot struct {
	tokens int64
	// sent is when the grant was requested, received when it arrived.
	sent, received time.Time
}

// lots are a host's tokens of one account, the oldest first.
type lots []lot

// take removes one token that may still be spent.
func (l *lots) take(now time.Time) bool {
	for i := range *l {
		if (*l)[i].tokens > 0 && now.Sub((*l)[i].sent) < GrantLifetime {
			(*l)[i].tokens--
			return true
		}
	}
	return false
}

// count returns the tokens that may still be spent.
func (l lots) count(now time.Time) int64 {
	var total int64
	for _, one := range l {
		if now.Sub(one.sent) < GrantLifetime {
			total += one.tokens
		}
	}
	return total
}

// expire removes and returns the tokens that are too old to keep: those unused for the
// given time and those that may no longer be spent.
func (l *lots) expire(now time.Time, unused time.Duration) int64 {
	var expired int64
	var kept lots
	for _, one := range *l {
		if now.Sub(one.received) >= unused || now.Sub(one.sent) >= GrantLifetime {
			expired += one.tokens
		} else if one.tokens > 0 {
			kept = append(kept, one)
		}
	}
	*l = kept
	return expired
}
