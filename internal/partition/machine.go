package partition

// Machine is the deterministic state of one partition. The manager calls it under
// the partition's lock.
type Machine interface {
	// Apply changes the state by one encoded operation. Equal operations in equal
	// order give equal states on all replicas.
	Apply(op []byte) error
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}
