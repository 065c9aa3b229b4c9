package peers

import "context"

// Hosts is what users of the table need to find the host that decides for a key.
type Hosts interface {
	Self() Host
	Candidates(key uint64, limit int) []Host
	// Others returns all other known hosts, also those that do not answer.
	Others() []Host
}

// Calls calls other hosts. Caller implements it.
type Calls interface {
	Call(ctx context.Context, h Host, method string, args, reply any) error
}
