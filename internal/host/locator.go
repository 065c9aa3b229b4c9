package host

import (
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/owner"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/structs"
)

// locator finds the owners of partitions and pools in the newest view that this host
// has.
type locator struct {
	member  *fleet.Member
	manager *partition.Manager
}

// Owner implements owner.Locator.
func (l *locator) Owner(id partition.ID) (address string, self, ok bool) {
	found, ok := l.manager.OwnerOf(id)
	if !ok {
		return "", false, false
	}
	return found.ControlAddress, found.ID == l.member.Self(), true
}

// Changed implements owner.Locator.
func (l *locator) Changed() <-chan struct{} {
	return l.member.Changed()
}

// poolOwners implements dispatch.Owners. The dispatcher of a pool is the owner of the
// pool's partition.
type poolOwners struct {
	locator *locator
}

// Owner returns the control address of the host that dispatches for a pool, and reports
// whether it is this host.
func (p poolOwners) Owner(pool structs.PoolName) (address string, self bool) {
	address, self, _ = p.locator.Owner(owner.PartitionOfPool(pool))
	return address, self
}

// Term returns the number of the current view, which serves as the term of the
// dispatcher.
func (p poolOwners) Term() structs.ViewNumber {
	return p.locator.member.View().Number
}
