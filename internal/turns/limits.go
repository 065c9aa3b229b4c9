package turns

// Limits bound what an owner stores and keeps in memory.
type Limits struct {
	// RecordBytes is the size of the largest record that the store accepts, with its key.
	RecordBytes int
	// AppendBytes is the total size of the largest append that the store accepts.
	AppendBytes int
	// ContentBytes is the total size of the inputs and outputs of turns that are kept in memory.
	// Others are read from the store again when a program continues.
	ContentBytes int
}

// DefaultLimits returns the limits of an owner for which none are set.
func DefaultLimits() Limits {
	return Limits{RecordBytes: 256 << 10, AppendBytes: 2 << 20, ContentBytes: 32 << 20}
}

const (
	// maxBatchBytes limits the total size of the records of one append, in bytes, so that other
	// turns of the partition do not wait long for it.
	maxBatchBytes = 1 << 20
	// recordOverhead is the part of a record that is reserved for all but the contents of the
	// turn: IDs, names and preallocations, in bytes.
	recordOverhead = 8 << 10
	// shortContents is the size up to which the contents of a turn are queued for the store without
	// a limit on all of them, in bytes.
	shortContents = 32 << 10
	// maxHistory is the length of the longest history that a turn may continue, in bytes. Hosts
	// pass a history on in one request of 16 MiB at most, with the new input.
	maxHistory = 11 << 20
)

// pieceBytes returns the size of the contents that fit into one record, in bytes.
func (l Limits) pieceBytes() int { return max(l.RecordBytes-recordOverhead, l.RecordBytes/2) }

// batchBytes returns the largest total size of the records of one append, in bytes.
func (l Limits) batchBytes() int { return min(maxBatchBytes, l.AppendBytes) }
