package partition

import "context"

// Decide inspects the state and returns the encoded operation to replicate, or nil for
// none. It runs under the partition's lock and must not block. An error is returned
// unchanged to the proposer and changes no state.
type Decide func(StateMachine) (op []byte, err error)

// Proposer runs operations at the owner of a partition.
type Proposer interface {
	// Propose runs decide at this host and returns when every backup of the view has
	// acknowledged the operation. It returns ErrNotOwner if another host owns the
	// partition, ErrNotReady if the partition does not become active before ctx ends
	// (nothing was decided), and ErrUncertain if the operation was decided here but its
	// replication could not be confirmed.
	Propose(ctx context.Context, id ID, decide Decide) error
}
