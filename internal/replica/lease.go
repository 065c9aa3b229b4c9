package replica

import "time"

// Lease is one attempt at a replica. It must be ended by Done.
type Lease struct {
	set     *Set
	replica *Replica
	class   string
	start   time.Time
	heard   bool
	done    bool
}

// Record returns the replica's record when the lease was taken.
func (l *Lease) Record() Record { return l.replica.record }

// Result is how an attempt ended.
type Result uint8

// The results of attempts.
const (
	// Answered: the replica gave a whole answer.
	Answered Result = iota
	// Refused: the replica said that it did not run the request.
	Refused
	// Broken: the answer failed or was not whole.
	Broken
	// Reset: the connection ended before any byte of an answer.
	Reset
	// Unreachable: no connection could be opened.
	Unreachable
	// Abandoned: the caller left or the time was up, which may not be the replica's fault.
	Abandoned
)

// FirstByte notes that the replica has begun to answer.
func (l *Lease) FirstByte() {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.heardLocked()
}

func (l *Lease) heardLocked() {
	l.heard = true
	delete(l.replica.silent, l)
}

// Load enters the load that the replica reported.
func (l *Lease) Load(load Load) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	r := l.replica
	r.reported, r.reportedOwn, r.reportedAt = load, r.inflight, time.Now()
}

// Done ends the lease. Units is the number of like parts of the work that the time of
// the attempt is divided by; at least 1. Further calls have no effect.
func (l *Lease) Done(result Result, units int) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	r := l.replica
	r.inflight--
	wasSilent := !l.heard
	l.heardLocked()
	now := time.Now()
	switch result {
	case Answered:
		r.succeeded(now)
		r.sample(l.set.usualLocked(l.class).ratio(now.Sub(l.start)/time.Duration(max(units, 1))), now)
	case Broken, Reset, Unreachable:
		if r.failed(result != Broken, now) {
			l.set.ejected(r.record, r.ejectPause)
		}
	case Abandoned:
		if wasSilent {
			r.sample(l.set.usualLocked(l.class).multiple(now.Sub(l.start)), now)
		}
	}
}
