package owner

import (
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// The key prefixes separate the kinds of keys, so that a program and an idempotency key
// of the same name hash independently.
const (
	programPrefix = "program/"
	claimPrefix   = "claim/"
	ratePrefix    = "rate/"
	poolPrefix    = "pool/"
)

// poolAccount takes the place of the client account when a pool is hashed.
const poolAccount structs.AccountID = ""

// PartitionOfProgram returns the partition of a program, which is that of its root
// program.
func PartitionOfProgram(key program.Key) partition.ID {
	return partition.ForKey(key.Account, programPrefix+string(key.Root))
}

// PartitionOfClaim returns the partition of an idempotency claim.
func PartitionOfClaim(key program.ClaimKey) partition.ID {
	return partition.ForKey(key.Account, claimPrefix+key.Key)
}

// PartitionOfAccount returns the partition that holds the account's rate bucket.
func PartitionOfAccount(account structs.AccountID) partition.ID {
	return partition.ForKey(account, ratePrefix)
}

// PartitionOfPool returns the partition whose owner dispatches the calls of a pool.
func PartitionOfPool(pool structs.PoolName) partition.ID {
	return partition.ForKey(poolAccount, poolPrefix+string(pool))
}
