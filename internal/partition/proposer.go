package partition

import "context"

// Decide looks at the state and returns the encoded operation to replicate, or nil
// for none. It runs under the partition's lock and must not block. An error is
// returned to the proposer as it is and changes nothing.
type Decide func(Machine) (op []byte, err error)

// Proposer runs operations at the owner of a partition.
type Proposer interface {
	// Propose runs decide at this host and returns when every backup of the view has
	// acknowledged the operation. ErrNotOwner: another host owns the partition.
	// ErrNotReady: the partition is not active within the context's time; nothing
	// was decided. ErrUncertain: decided here, and not known to be replicated.
	Propose(ctx context.Context, id ID, decide Decide) error
}
