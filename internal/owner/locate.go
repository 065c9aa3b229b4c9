package owner

import (
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// Key prefixes keep the keys of different kinds apart, so that a program and an
// idempotency key of the same name hash on their own.
const (
	programPrefix = "program/"
	claimPrefix   = "claim/"
	ratePrefix    = "rate/"
	poolPrefix    = "pool/"
)

// poolAccount stands in for a client account where pools are hashed.
const poolAccount structs.AccountID = ""

// PartitionOfProgram returns the partition of a program, which is its root's.
func PartitionOfProgram(key program.Key) partition.ID {
	return partition.Of(key.Account, programPrefix+string(key.Root))
}

// PartitionOfClaim returns the partition of an idempotency claim.
func PartitionOfClaim(key program.ClaimKey) partition.ID {
	return partition.Of(key.Account, claimPrefix+key.Key)
}

// PartitionOfAccount returns the partition that has the account's bucket.
func PartitionOfAccount(account structs.AccountID) partition.ID {
	return partition.Of(account, ratePrefix)
}

// PartitionOfPool returns the partition whose owner dispatches a pool.
func PartitionOfPool(pool structs.PoolName) partition.ID {
	return partition.Of(poolAccount, poolPrefix+string(pool))
}
