package partition

import "cowslipgw/internal/structs"

// Code is the result of one item of a call between hosts.
type Code int

const (
	// CodeOK means that the item succeeded.
	CodeOK Code = iota + 1
	// CodeStaleView means that the receiver is in a newer view than the sender.
	CodeStaleView
	// CodeBehind means that the receiver has not reached the sender's view yet.
	CodeBehind
	// CodeNotOwner means that the sender does not own the partition in the view, that
	// its incarnation is not the one in the view, or that the receiver is not a backup
	// of the partition.
	CodeNotOwner
	// CodeGap means that the receiver has no copy that the operations directly follow:
	// it has none, one of another activation, or one that lacks earlier operations.
	CodeGap
	// CodeNeedInstall means that the receiver has no copy, or one that differs from the
	// copy to be activated.
	CodeNeedInstall
	// CodeStateError means that the receiver's state machine rejected the operation or
	// snapshot.
	CodeStateError
	// CodeNoReply is set by the sender when no reply arrived.
	CodeNoReply
)

// Sender identifies the calling process and its current view.
type Sender struct {
	Host        structs.HostID
	Incarnation structs.Incarnation
	View        structs.ViewNumber
}

// Base identifies a state of a partition: the view in which it was activated and the
// sequence number of its last operation. Copies with equal bases are equal.
type Base struct {
	Activated structs.ViewNumber
	Seq       uint64
}

// Before reports whether b identifies an older state than other.
func (b Base) Before(other Base) bool {
	if b.Activated != other.Activated {
		return b.Activated < other.Activated
	}
	return b.Seq < other.Seq
}

// ReplicateRequest carries operations of several partitions to one backup.
type ReplicateRequest struct {
	From  Sender
	Items []ReplicateItem
}

// ReplicateItem holds consecutive operations of one partition.
type ReplicateItem struct {
	ID        ID
	Activated structs.ViewNumber
	// First is the sequence number of the first operation.
	First uint64
	Ops   [][]byte
}

// CodesReply has one code per item of the request.
type CodesReply struct {
	Codes []Code
}

// FetchRequest asks for the receiver's copies of partitions.
type FetchRequest struct {
	From Sender
	IDs  []ID
	// Snapshots requests the states as well.
	Snapshots bool
}

// FetchReply holds the copies that the receiver has. A reply with snapshots may hold
// only the first of them, but at least one; the sender requests the rest in further
// calls.
type FetchReply struct {
	Code   Code
	Copies []Copy
}

// Copy describes one host's copy of a partition.
type Copy struct {
	ID   ID
	Base Base
	// Valid is the newest view in which the host knows the copy's activation to be
	// still valid, because the replicas have not changed since.
	Valid    structs.ViewNumber
	Lineage  []Base
	Snapshot []byte
}

// ActivateRequest asks a backup to activate the copies that it already has.
type ActivateRequest struct {
	From  Sender
	Items []ActivateItem
}

// ActivateItem activates a copy if it has the given base.
type ActivateItem struct {
	ID      ID
	Base    Base
	Lineage []Base
}

// InstallRequest replaces copies at a backup and activates them.
type InstallRequest struct {
	From  Sender
	Items []InstallItem
}

// InstallItem is the state of one partition.
type InstallItem struct {
	ID        ID
	Activated structs.ViewNumber
	Seq       uint64
	Lineage   []Base
	Snapshot  []byte
}

// ReleaseRequest announces that partitions are active, so that hosts that are no longer
// replicas drop their copies.
type ReleaseRequest struct {
	From  Sender
	Items []ReleaseItem
}

// ReleaseItem identifies an active partition.
type ReleaseItem struct {
	ID ID
	// Lineage lists the most recent activations from which the partition's state
	// derives, each with its last operation.
	Lineage []Base
}

// StatusRequest asks an owner which of the partitions are active.
type StatusRequest struct {
	IDs []ID
}

// StatusReply holds those of the partitions that are active.
type StatusReply struct {
	View  structs.ViewNumber
	Items []ReleaseItem
}
