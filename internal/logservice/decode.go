package logservice

import (
	"encoding/json"
	"fmt"

	"cowslipgw/internal/structs"
)

// DecodeBatch decodes the JSON answer to a read after the given offset, and checks that
// the records are contiguous. It returns ErrTrimmed, with Batch.First set, if the records
// do not directly follow the offset because older ones were trimmed. It returns
// ErrMalformed for any other violation of the protocol.
func DecodeBatch(answer []byte, after structs.Offset) (Batch, error) {
	var batch Batch
	if err := json.Unmarshal(answer, &batch); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if batch.End < after {
		return Batch{}, fmt.Errorf("%w: stream ends at offset %d, but it was already read up to offset %d", ErrMalformed, batch.End, after)
	}
	if len(batch.Records) == 0 {
		if batch.End > after {
			return Batch{}, fmt.Errorf("%w: no records, but stream ends at offset %d", ErrMalformed, batch.End)
		}
		return batch, nil
	}
	if first := batch.Records[0].Offset; first > after+1 && batch.First > after+1 {
		return Batch{First: batch.First, End: batch.End}, ErrTrimmed
	}
	for i, record := range batch.Records {
		if want := after + 1 + structs.Offset(i); record.Offset != want {
			return Batch{}, fmt.Errorf("%w: record %d has offset %d, want %d", ErrMalformed, i, record.Offset, want)
		}
		if record.ID == "" {
			return Batch{}, fmt.Errorf("%w: record at offset %d has no ID", ErrMalformed, record.Offset)
		}
	}
	if last := batch.Records[len(batch.Records)-1].Offset; last > batch.End {
		return Batch{}, fmt.Errorf("%w: record at offset %d is past the end offset %d", ErrMalformed, last, batch.End)
	}
	return batch, nil
}
