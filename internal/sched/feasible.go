package sched

import "time"

// feasible returns the replicas that can take another call now, and the mean load
// over all replicas that are not leaving.
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

// admits applies the limits of a replica: its slots, the inter-token target through
// the adaptive concurrency limit, and the first-token target through the prefill
// backlog. A replica with no running calls from this dispatcher is admitted whenever
// it has a free slot: with no running calls the backlog estimate must be wrong.
func (f *Fair) admits(info *Replica, state *replicaState, load int, now time.Duration) bool {
	limit := int(state.concurrencyLimit)
	if info.Slots > 0 {
		limit = min(limit, info.Slots)
	}
	if load >= limit {
		return false
	}
	return state.running == 0 || state.prefillDoneAt-now < f.settings.FirstToken
}
