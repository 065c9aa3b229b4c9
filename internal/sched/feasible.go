package sched

import "time"

// feasible returns the replicas that may take another call now, and the mean load
// of the replicas that are not leaving.
func (f *Fair) feasible(snapshot Snapshot, now time.Duration) ([]candidate, float64) {
	f.candidates = f.candidates[:0]
	total, live := 0, 0
	for i := range snapshot.Replicas {
		info := &snapshot.Replicas[i]
		if info.Leaving {
			continue
		}
		state := f.state(info.ID)
		load := state.load(info)
		total += load
		live++
		if f.admits(info, state, load, now) {
			f.candidates = append(f.candidates, candidate{
				id: info.ID, info: info, state: state, load: load, pressure: f.pressure(info, load),
			})
		}
	}
	if live == 0 {
		return nil, 0
	}
	return f.candidates, float64(total) / float64(live)
}

// admits applies the limits of a replica: slots, the inter-token goal through the
// adapted limit, and the first-token goal through the prefill backlog. A replica
// without calls of this dispatcher always takes one when it has a slot, since a
// backlog estimate without calls is wrong.
func (f *Fair) admits(info *Replica, state *replicaState, load int, now time.Duration) bool {
	limit := int(state.limit)
	if info.Slots > 0 {
		limit = min(limit, info.Slots)
	}
	if load >= limit {
		return false
	}
	return state.running == 0 || state.prefillUntil-now < f.settings.FirstToken
}
