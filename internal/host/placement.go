package host

import (
	"time"

	"cowslipgw/internal/owner"
	"cowslipgw/internal/placement"
	"cowslipgw/internal/structs"
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
