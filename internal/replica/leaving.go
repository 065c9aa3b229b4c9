package replica

import "cowslipgw/internal/event"

// Leaving records that an answer of the replica says that it is about to end.
func (l *Lease) Leaving() {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	r := l.replica
	if r.leaving {
		return
	}
	r.leaving = true
	l.set.events.Log(event.ReplicaLeaving, event.Fields{"replica": r.record.ID, "service": r.record.Service, "addr": r.record.Addr,
		"draining": r.record.Draining})
}
