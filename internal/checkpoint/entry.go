package checkpoint

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/partition"
)

const (
	// Stream is the log stream that holds the checkpoints.
	Stream = "checkpoint"
	// maxRecordBytes limits the data of one record. The log's protocol makes it a third
	// longer (base64), which stays below 1 MiB.
	maxRecordBytes = 512 << 10
	// entryOverhead is an upper bound of what the encoding adds to the state of one
	// entry.
	entryOverhead = 64
	// maxPieces limits the pieces of one state to 512 MiB in total.
	maxPieces = 1024
)

// entry is the state of one partition, or a piece of it if the state exceeds one
// record.
type entry struct {
	Partition partition.ID   `cbor:"1,keyasint"`
	Base      partition.Base `cbor:"2,keyasint"`
	Piece     int            `cbor:"3,keyasint,omitempty"`
	Pieces    int            `cbor:"4,keyasint"`
	State     []byte         `cbor:"5,keyasint"`
}

// encode returns the record data for the entries.
func encode(entries []entry) ([]byte, error) {
	return cbor.Marshal(entries)
}

// decode returns the entries of a record. It rejects invalid partitions and piece
// numbers.
func decode(data []byte) ([]entry, error) {
	var entries []entry
	if err := cbor.Unmarshal(data, &entries); err != nil {
		return nil, fmt.Errorf("decode checkpoint: %w", err)
	}
	for _, e := range entries {
		if e.Partition >= partition.Count || e.Pieces < 1 || e.Pieces > maxPieces || e.Piece < 0 || e.Piece >= e.Pieces {
			return nil, fmt.Errorf("checkpoint of partition %d has piece %d of %d", e.Partition, e.Piece, e.Pieces)
		}
	}
	return entries, nil
}

// split divides a state into entries that each fit into a record.
func split(id partition.ID, base partition.Base, state []byte) []entry {
	const maxPieceBytes = maxRecordBytes - 2*entryOverhead
	pieces := max(1, (len(state)+maxPieceBytes-1)/maxPieceBytes)
	entries := make([]entry, 0, pieces)
	for i := range pieces {
		part := state[i*maxPieceBytes : min(len(state), (i+1)*maxPieceBytes)]
		entries = append(entries, entry{Partition: id, Base: base, Piece: i, Pieces: pieces, State: part})
	}
	return entries
}
