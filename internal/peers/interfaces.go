package peers

import "context"

// Hosts is the part of Table that is needed to find the owner of a key.
type Hosts interface {
	Self() Host
	Candidates(key uint64, limit int) []Host
	// StorelessCandidates is like Candidates for a key whose owner does not need the store.
	StorelessCandidates(key uint64, limit int) []Host
	// Others returns all other known hosts, including those that are not alive.
	Others() []Host
}

// Calls is the interface for calling other hosts. Caller implements it.
type Calls interface {
	Call(ctx context.Context, h Host, method string, args, reply any) error
}
