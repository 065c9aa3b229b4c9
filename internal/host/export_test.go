package host

import (
	"cowslipgw/internal/owner"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// ReplicasOfClaim returns the owner and the backups of an idempotency claim.
func (h *Host) ReplicasOfClaim(account structs.AccountID, key string) []structs.HostID {
	return h.manager.ReplicasOf(owner.PartitionOfClaim(program.ClaimKey{Account: account, Key: key}))
}

// OwnerOfRate returns the host that owns an account's bucket in this host's view.
func (h *Host) OwnerOfRate(account structs.AccountID) structs.HostID {
	found, _ := h.manager.OwnerOf(owner.PartitionOfAccount(account))
	return found.ID
}
