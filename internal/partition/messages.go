package partition

import "cowslipgw/internal/structs"

// Code is the outcome of one item of a call between hosts.
type Code int

const (
	// CodeOK means that the item was done.
	CodeOK Code = iota + 1
	// CodeOldView means that the receiver is in a newer view than the sender.
	CodeOldView
	// CodeBehind means that the receiver has not folded the sender's view yet.
	CodeBehind
	// CodeNotOwner means that the sender does not own the partition in its view, or is
	// not the process that the view names.
	CodeNotOwner
	// CodeGap means that the receiver's copy does not precede the operations.
	CodeGap
	// CodeNeedInstall means that the receiver's copy is not the one to activate.
	CodeNeedInstall
	// CodeBroken means that the receiver's state refused the operation or snapshot.
	CodeBroken
	// CodeNoAnswer is set by the sender when no answer came.
	CodeNoAnswer
)

// Sender names the process that a call comes from and the view it is in.
type Sender struct {
	Host        structs.HostID
	Incarnation structs.Incarnation
	View        structs.ViewNumber
}

// Base is a state of a partition: the view in which it was activated and the number
// of its last operation. Copies with equal bases are equal.
type Base struct {
	Activated structs.ViewNumber
	Seq       uint64
}

// Before orders bases by how much they include.
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

// ReplicateItem is a run of operations of one partition.
type ReplicateItem struct {
	ID        ID
	Activated structs.ViewNumber
	// First is the number of the first operation.
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
	// Snapshots asks for the states as well.
	Snapshots bool
}

// FetchReply holds the copies that the receiver has. With snapshots it may hold only
// the first of them, at least one; the sender asks again for the rest.
type FetchReply struct {
	Code   Code
	Copies []Copy
}

// Copy describes one host's copy of a partition.
type Copy struct {
	ID   ID
	Base Base
	// Valid is the newest view of which the host knows that the copy's activation still
	// counts, since the replicas have not changed.
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

// InstallRequest replaces copies of a backup and activates them.
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

// ReleaseRequest says that partitions are active, so that hosts which are not
// replicas any more drop their copies.
type ReleaseRequest struct {
	From  Sender
	Items []ReleaseItem
}

// ReleaseItem names an active partition.
type ReleaseItem struct {
	ID ID
	// Lineage are the newest activations that the partition's state comes from and the
	// last operation of each.
	Lineage []Base
}

// StatusRequest asks an owner which partitions are active.
type StatusRequest struct {
	IDs []ID
}

// StatusReply holds the active ones of the partitions.
type StatusReply struct {
	View  structs.ViewNumber
	Items []ReleaseItem
}
