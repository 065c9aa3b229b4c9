package host

import (
	"cowslipgw/internal/owner"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// ReplicasOfClaim returns the hosts that hold an idempotency claim, the owner first.
func (h *Host) ReplicasOfClaim(account structs.AccountID, key string) []structs.HostID {
	return h.manager.ReplicasOf(owner.PartitionOfClaim(program.ClaimKey{Account: account, Key: key}))
}

// OwnerOfRateBucket returns the owner of an account's token bucket in this host's view.
func (h *Host) OwnerOfRateBucket(account structs.AccountID) structs.HostID {
	found, _ := h.manager.OwnerOf(owner.PartitionOfAccount(account))
	return found.ID
}
