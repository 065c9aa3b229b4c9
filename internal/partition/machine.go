package partition

// StateMachine is the deterministic state machine of one partition. The manager calls it
// under the partition's lock.
type StateMachine interface {
	// Apply executes one encoded operation. The same operations in the same order
	// produce the same state on all replicas.
	Apply(op []byte) error
	// Snapshot encodes the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(snapshot []byte) error
}
