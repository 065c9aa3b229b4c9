package host

import (
	"cowslipgw/internal/owner"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// OwnerOfClaim returns the host that owns an idempotency claim in this host's view.
func (h *Host) OwnerOfClaim(account structs.AccountID, key string) structs.HostID {
	return h.ownerOf(owner.PartitionOfClaim(program.ClaimKey{Account: account, Key: key}))
}

// OwnerOfRate returns the host that owns an account's bucket in this host's view.
func (h *Host) OwnerOfRate(account structs.AccountID) structs.HostID {
	return h.ownerOf(owner.PartitionOfAccount(account))
}

func (h *Host) ownerOf(id partition.ID) structs.HostID {
	found, _ := h.manager.OwnerOf(id)
	return found.ID
}
