package turns

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/storelog"
)

// PartitionOf returns the partition of a program of a client account.
func PartitionOf(account, program string) int {
	d := xxhash.New()
	// Writes to a digest never fail.
	_, _ = d.WriteString(account)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(program)
	return int(d.Sum64() % Partitions)
}

// partitionName returns the log partition that stores partition id if each topic has parts
// partitions.
func partitionName(id, parts int) storelog.Partition {
	return storelog.Partition{Topic: "turns" + strconv.Itoa(id/parts), Part: id % parts}
}
