package admission

import (
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/replica"
)

// Hash returns the hash by which hosts refer to a service or route in their reports.
func Hash(name string) uint32 { return replica.NameHash(name) }

// ProgramKey returns the identity of a program of a client account.
func ProgramKey(account, program string) uint64 {
	return xxhash.Sum64String(account + "\x00" + program)
}
