package turns

import (
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/peers"
)

// WriterOf returns the ID by which records identify the owner at a host: the upper half is
// a hash of the host's ID, the lower half its incarnation.
func WriterOf(h peers.Host) int64 {
	return int64(xxhash.Sum64String(h.ID)&^incarnationMask | uint64(h.Incarnation)&incarnationMask)
}

// incarnationMask selects the incarnation in a writer ID.
const incarnationMask = 1<<32 - 1

// hostPart returns the part of a writer ID that identifies the host.
func hostPart(writer int64) int64 { return int64(uint64(writer) &^ incarnationMask) }

// sameHost reports whether two writer IDs belong to the same host.
func sameHost(a, b int64) bool { return hostPart(a) == hostPart(b) }

// Presence is what a call to another owner reveals about its state.
type Presence uint8

// The values of Presence.
const (
	// Unreachable: the owner does not answer, and may still run.
	Unreachable Presence = iota
	// Present: the owner answered.
	Present
	// Terminated: the owner's host runs a later incarnation.
	Terminated
)
