package evacuation

import (
	"maps"
	"sync"
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// sendMargin is subtracted from the time after which an evacuation must have taken effect, for
	// the way of a request from the last check to the replica.
	sendMargin = 400 * time.Millisecond
	// outagePermit is how long requests are sent after it was found that no host reaches the store.
	outagePermit = time.Second
)

// Knowledge is what this host knows of evacuations. Its methods are safe for concurrent use.
type Knowledge struct {
	// maxAge is the age of the last confirmation up to which the knowledge counts as current; 0
	// means that it always does.
	maxAge   time.Duration
	now      func() boottime.Instant
	onChange func(domains, returned map[string]int64)

	mu    sync.Mutex
	known bool
	state State
	// confirmedAt is a time at which the state was that of the store; all records that were
	// acknowledged before are part of it. LearnedAt is when the state was first learned.
	confirmedAt, learnedAt boottime.Instant
	permittedUntil         boottime.Instant
}

// NewKnowledge returns the knowledge of a host that has read nothing yet. Bound is the time after
// which an evacuation must have taken effect; 0 if the deployment sets none. OnChange is called with
// the domains of the state after each change, before it counts as known.
func NewKnowledge(bound time.Duration, onChange func(domains, returned map[string]int64)) *Knowledge {
	k := &Knowledge{now: boottime.Now, onChange: onChange}
	if bound > 0 {
		k.maxAge = max(bound-sendMargin, bound/2)
	}
	return k
}

// LearnRead records the state that a read of the store returned. Started is the time before the
// read.
func (k *Knowledge) LearnRead(s State, started boottime.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// A lower end after the present state was learned means that the store has lost records.
	if k.known && s.End < k.state.End && started <= k.learnedAt {
		return
	}
	k.setLocked(s)
	k.confirmedAt = max(k.confirmedAt, started)
}

// LearnReported records the state that another host reports, which had confirmed it Age before.
// Asked is the time before the question.
func (k *Knowledge) LearnReported(s State, asked boottime.Instant, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if age < 0 || (k.known && s.End < k.state.End) {
		return
	}
	k.setLocked(s)
	k.confirmedAt = max(k.confirmedAt, asked.Add(-age))
}

func (k *Knowledge) setLocked(s State) {
	if k.known && s.End == k.state.End {
		return
	}
	if !k.known || !maps.Equal(k.state.Domains, s.Domains) || !maps.Equal(k.state.Returned, s.Returned) {
		k.onChange(s.Domains, s.Returned)
	}
	k.state, k.known, k.learnedAt = s, true, k.now()
}

// isBounded reports whether the knowledge must be confirmed from time to time.
func (k *Knowledge) isBounded() bool { return k.maxAge > 0 }

// Current reports whether every evacuation that must have taken effect is known, so that requests
// may be sent.
func (k *Knowledge) Current() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.maxAge == 0 {
		return true
	}
	now := k.now()
	return k.isConfirmedLocked(now) || (k.known && now < k.permittedUntil)
}

func (k *Knowledge) isConfirmedLocked(now boottime.Instant) bool {
	return k.known && now.Sub(k.confirmedAt) < k.maxAge
}

// Confirmed reports whether the state was confirmed recently enough.
func (k *Knowledge) Confirmed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isConfirmedLocked(k.now())
}

// permit lets requests be sent for a short time although the state is unconfirmed.
func (k *Knowledge) permit() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.permittedUntil = k.now().Add(outagePermit)
}

// report returns the state and the time since it was confirmed; ok is false if nothing is known.
func (k *Knowledge) report() (s State, age time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state, k.now().Sub(k.confirmedAt), k.known
}
