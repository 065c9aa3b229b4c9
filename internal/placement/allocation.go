package placement

import "slices"

// allocation records which replicas serve which models, including loads in progress.
type allocation struct {
	snapshot      Snapshot
	requiredSlots map[string]float64
	// served holds, by replica index, the models that the replica serves or will
	// serve. It is nil for replicas that are not live.
	served [][]string
	// replicaCount is the number of replicas of each model, allocatedSlots the
	// model's share of their slots.
	replicaCount   map[string]int
	allocatedSlots map[string]float64
}

func newAllocation(snapshot Snapshot) allocation {
	a := allocation{snapshot: snapshot, requiredSlots: make(map[string]float64), served: make([][]string, len(snapshot.Replicas))}
	for name, demand := range snapshot.Demand {
		a.requiredSlots[name] = demand.requiredSlots()
	}
	for i, replica := range snapshot.Replicas {
		if replica.Live {
			a.served[i] = a.reportedModels(replica)
		}
		if replica.Live && replica.Loading != "" {
			a.served[i] = a.modelsAfterLoad(i, replica.Loading)
		}
	}
	a.recount()
	return a
}

// reportedModels returns the models that a replica serves. A replica that does not
// report its models gets calls for all of them.
func (a *allocation) reportedModels(replica Replica) []string {
	if replica.Models != nil {
		return replica.Models
	}
	var all []string
	for _, model := range a.snapshot.Models {
		all = append(all, model.FullName())
	}
	return all
}

// hasRoom reports whether a replica can load a model without dropping another.
func (a *allocation) hasRoom(i int) bool {
	return len(a.served[i]) < max(1, a.snapshot.Settings.ModelsPerReplica)
}

// modelsAfterLoad returns the models that a replica is certain to serve after it has
// loaded the named one. A full engine may drop any of its other models, so none of
// them counts.
func (a *allocation) modelsAfterLoad(i int, name string) []string {
	if !a.hasRoom(i) {
		return []string{name}
	}
	return append(slices.Clone(a.served[i]), name)
}

// addLoad records an order.
func (a *allocation) addLoad(i int, name string) {
	a.served[i] = a.modelsAfterLoad(i, name)
	a.recount()
}

func (a *allocation) recount() {
	a.replicaCount, a.allocatedSlots = make(map[string]int), make(map[string]float64)
	for i, names := range a.served {
		for _, name := range names {
			a.replicaCount[name]++
			a.allocatedSlots[name] += a.slotShare(i, name)
		}
	}
}

// slotShare returns the share of a replica's slots that a model gets. The models of
// a replica share its slots in proportion to their demand.
func (a *allocation) slotShare(i int, name string) float64 {
	slots, total := float64(max(1, a.snapshot.Replicas[i].Slots)), 0.0
	for _, served := range a.served[i] {
		total += a.requiredSlots[served]
	}
	if total == 0 {
		return slots
	}
	return slots * a.requiredSlots[name] / total
}

// pressure returns the demand for a model per allocated slot.
func (a *allocation) pressure(name string) float64 {
	if a.requiredSlots[name] == 0 || a.allocatedSlots[name] == 0 {
		return 0
	}
	return a.requiredSlots[name] / a.allocatedSlots[name]
}

// canReplace reports whether every model with demand that the replica may drop has
// another replica.
func (a *allocation) canReplace(i int) bool {
	if a.hasRoom(i) {
		return true
	}
	return !slices.ContainsFunc(a.served[i], func(name string) bool {
		return a.requiredSlots[name] > 0 && a.replicaCount[name] < 2
	})
}

// replacementCost returns the highest pressure among the models that the replica may
// drop, after it has dropped them. For a replica with room it is the replica's own
// load. It must only be called if canReplace is true.
func (a *allocation) replacementCost(i int) float64 {
	if a.hasRoom(i) {
		replica := a.snapshot.Replicas[i]
		return float64(replica.Running+replica.Queued) / float64(max(1, replica.Slots))
	}
	highest := 0.0
	for _, name := range a.served[i] {
		if a.requiredSlots[name] > 0 {
			highest = max(highest, a.requiredSlots[name]/(a.allocatedSlots[name]-a.slotShare(i, name)))
		}
	}
	return highest
}
