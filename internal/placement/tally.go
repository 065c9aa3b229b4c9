package placement

import "slices"

// tally counts which replicas serve which model, loads in progress included.
type tally struct {
	snapshot Snapshot
	work     map[string]float64
	// held is what each replica serves or will serve, by index; nil for one that is not
	// live.
	held [][]string
	// holders counts the replicas of a model, slots the slots that are its share.
	holders map[string]int
	slots   map[string]float64
}

func newTally(snapshot Snapshot) tally {
	t := tally{snapshot: snapshot, work: make(map[string]float64), held: make([][]string, len(snapshot.Replicas))}
	for name, demand := range snapshot.Demand {
		t.work[name] = demand.work()
	}
	for i, replica := range snapshot.Replicas {
		if replica.Live {
			t.held[i] = t.reported(replica)
		}
		if replica.Live && replica.Loading != "" {
			t.held[i] = t.with(i, replica.Loading)
		}
	}
	t.count()
	return t
}

// reported returns the models of a replica. One that does not report its models gets
// calls for all of them.
func (t *tally) reported(replica Replica) []string {
	if replica.Models != nil {
		return replica.Models
	}
	var all []string
	for _, model := range t.snapshot.Models {
		all = append(all, model.FullName())
	}
	return all
}

// room says whether a replica can load a model without dropping another.
func (t *tally) room(i int) bool {
	return len(t.held[i]) < max(1, t.snapshot.Settings.ModelsPerReplica)
}

// with returns what a replica serves after it has loaded a model. A full engine may
// drop any of its models, so that none of them counts.
func (t *tally) with(i int, name string) []string {
	if !t.room(i) {
		return []string{name}
	}
	return append(slices.Clone(t.held[i]), name)
}

// load notes an order.
func (t *tally) load(i int, name string) {
	t.held[i] = t.with(i, name)
	t.count()
}

func (t *tally) count() {
	t.holders, t.slots = make(map[string]int), make(map[string]float64)
	for i, names := range t.held {
		for _, name := range names {
			t.holders[name]++
			t.slots[name] += t.share(i, name)
		}
	}
}

// share is the part of a replica's slots that a model gets: replicas of several
// models divide them by demand.
func (t *tally) share(i int, name string) float64 {
	slots, total := float64(max(1, t.snapshot.Replicas[i].Slots)), 0.0
	for _, held := range t.held[i] {
		total += t.work[held]
	}
	if total == 0 {
		return slots
	}
	return slots * t.work[name] / total
}

// pressure is the demand of a model for each of its slots.
func (t *tally) pressure(name string) float64 {
	if t.work[name] == 0 || t.slots[name] == 0 {
		return 0
	}
	return t.work[name] / t.slots[name]
}

// spares says whether every model with demand that the replica may drop is held
// elsewhere too.
func (t *tally) spares(i int) bool {
	if t.room(i) {
		return true
	}
	return !slices.ContainsFunc(t.held[i], func(name string) bool {
		return t.work[name] > 0 && t.holders[name] < 2
	})
}

// cost is the highest pressure among the models that the replica may drop, after it
// has dropped them. A replica with room costs its own load. Call it only for replicas
// that spares allows.
func (t *tally) cost(i int) float64 {
	if t.room(i) {
		replica := t.snapshot.Replicas[i]
		return float64(replica.Running+replica.Queued) / float64(max(1, replica.Slots))
	}
	highest := 0.0
	for _, name := range t.held[i] {
		if t.work[name] > 0 {
			highest = max(highest, t.work[name]/(t.slots[name]-t.share(i, name)))
		}
	}
	return highest
}
