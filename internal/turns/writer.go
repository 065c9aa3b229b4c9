package turns

import (
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/peers"
)

// WriterOf names the home at a host in records: the upper half is a hash of the host's ID,
// the lower half its incarnation.
func WriterOf(h peers.Host) int64 {
	return int64(xxhash.Sum64String(h.ID)&^incarnationMask | uint64(h.Incarnation)&incarnationMask)
}

// incarnationMask selects the incarnation in a writer.
const incarnationMask = 1<<32 - 1

// sameHost reports whether two writers are homes at the same host.
func sameHost(a, b int64) bool { return uint64(a)&^incarnationMask == uint64(b)&^incarnationMask }

// Presence is what is known of the home that another one asks.
type Presence uint8

// The presences of a home.
const (
	// Silent: the home does not answer, and may still run.
	Silent Presence = iota
	// Present: the home answered.
	Present
	// Gone: its host runs a later incarnation.
	Gone
)
