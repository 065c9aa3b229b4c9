package partition

import (
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/structs"
)

// Count is the number of partitions of the fleet. It is fixed for the lifetime of a
// deployment, because the mapping from keys to partitions depends on it.
const Count = 4096

// ID identifies a partition, from 0 to Count-1.
type ID uint16

// ForKey returns the partition that holds a key of a client account.
func ForKey(account structs.AccountID, key string) ID {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(account))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return ID(digest.Sum64() % Count)
}
