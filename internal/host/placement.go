package host

import (
	"time"

	"cowslipgw/internal/owner"
	"cowslipgw/internal/placement"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// wirePlacement sets up the planning of models.
func (h *Host) wirePlacement() {
	s := h.options.Settings.Upstream
	h.placement = placement.NewRunner(placement.Options{
		Owner: planOwner{h}, Directory: h.directory, Demands: h.pools, Orders: h.upstreams, Lists: h.store,
		Settings: placement.Settings{
			WeightRate: s.WeightRate, ModelBytes: s.ModelSize, ModelsPerReplica: int(s.ModelsPerReplica),
		},
		Logger: h.options.Logger,
	})
}

// plannedDirectory is the directory as the dispatchers of this host see it.
type plannedDirectory struct {
	*upstream.Directory
	host *Host
}

// Load returns the last report of a replica. While the replica may be dropping models
// for an ordered one, the report names none, so that it gets no calls that it would
// refuse.
func (d plannedDirectory) Load(id structs.ReplicaID) (upstream.Load, bool) {
	load, reported := d.Directory.Load(id)
	if reported && load.Models != nil && d.host.placement.Replacing(id) {
		load.Models = []string{}
	}
	return load, reported
}

// planOwner implements placement.Owner.
type planOwner struct {
	host *Host
}

// Plans returns the view by which this host owns the pool's partition. A host whose
// records may be more than 3 s old does not plan.
func (p planOwner) Plans(pool structs.PoolName) (structs.ViewNumber, bool) {
	table := p.host.manager.Table()
	if table == nil || !p.host.member.Current(time.Now()) {
		return 0, false
	}
	found, ok := table.Owner(owner.PartitionOfPool(pool))
	self := ok && found.ID == p.host.member.Self() && found.Incarnation == p.host.member.Incarnation()
	return table.Number(), self
}
