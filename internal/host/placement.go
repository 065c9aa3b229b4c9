package host

import (
	"time"

	"cowslipgw/internal/owner"
	"cowslipgw/internal/placement"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// wirePlacement sets up the component that places models on the replicas of a pool.
func (h *Host) wirePlacement() {
	s := h.options.Settings.Upstream
	h.placement = placement.NewRunner(placement.Options{
		Owner: placementOwner{h}, Directory: h.directory, Demands: h.pools, Orders: h.upstreams, Lists: h.store,
		Settings: placement.Settings{
			WeightRate: s.WeightRate, ModelBytes: s.ModelSize, ModelsPerReplica: int(s.ModelsPerReplica),
		},
		Logger: h.options.Logger,
	})
}

// dispatchDirectory is the upstream directory as the dispatchers of this host see it.
type dispatchDirectory struct {
	*upstream.Directory
	host *Host
}

// Load returns the last load report of a replica. While the replica may be unloading
// models to make room for one that it was ordered to load, the report lists no models,
// so that the replica gets no calls that it would refuse.
func (d dispatchDirectory) Load(id structs.ReplicaID) (upstream.Load, bool) {
	load, reported := d.Directory.Load(id)
	if reported && load.Models != nil && d.host.placement.Replacing(id) {
		load.Models = []string{}
	}
	return load, reported
}

// placementOwner implements placement.Owner.
type placementOwner struct {
	host *Host
}

// Plans returns the current view and reports whether this host owns the pool's
// partition in it and therefore plans the pool. Both results come from the same view. A
// host whose fleet records may be more than 3 s old does not plan.
func (p placementOwner) Plans(pool structs.PoolName) (structs.ViewNumber, bool) {
	table := p.host.manager.Table()
	if table == nil || !p.host.member.Current(time.Now()) {
		return 0, false
	}
	found, ok := table.Owner(owner.PartitionOfPool(pool))
	self := ok && found.ID == p.host.member.Self() && found.Incarnation == p.host.member.Incarnation()
	return table.Number(), self
}
