package storelog

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrConflict: the partition did not end at the expected offset; nothing was appended.
	ErrConflict = errors.New("partition has grown")
	// ErrTrimmed: records that were asked for are no longer kept.
	ErrTrimmed = errors.New("records were trimmed")
	// ErrUnavailable: the store refused the call; nothing was done.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown: no response; the call may take effect, now or later.
	ErrUnknown = errors.New("outcome unknown")
)

// AnyEnd as the expected end makes an append unconditional.
const AnyEnd int64 = -1

// Partition names a partition of a topic.
type Partition struct {
	Topic string
	Part  int
}

// Record is a keyed record. A record without a value removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is a part of the newest records of each key.
type Page struct {
	Records []Record
	// More says that another page follows after the last key.
	More bool
	// End is the end of the partition when the page was read.
	End int64
}

// Log is the store. Methods are safe for concurrent use and end with ctx.
type Log interface {
	// Append adds records, all or none, if the partition ends at expected. It returns
	// the new end, or the present one with ErrConflict if it is known (else -1).
	Append(ctx context.Context, p Partition, expected int64, records []Record) (int64, error)
	// Read returns the records from an offset on and the partition's end. It waits up to
	// wait for a first record.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) ([]Record, int64, error)
	// Newest returns a page of the newest record of each key after a key.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// Load reads the newest record of every key and calls apply for each, then for the
// records appended meanwhile. It returns the offset up to which the partition was
// read. Apply may see a key more than once, with rising offsets.
func Load(ctx context.Context, log Log, p Partition, apply func(Record)) (int64, error) {
	after := ""
	begin := int64(-1)
	for {
		page, err := log.Newest(ctx, p, after)
		if err != nil {
			return 0, err
		}
		if begin < 0 {
			begin = page.End
		}
		for _, r := range page.Records {
			apply(r)
		}
		if !page.More || len(page.Records) == 0 {
			if page.End == begin {
				return begin, nil
			}
			return Follow(ctx, log, p, begin, apply)
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// Follow applies all records from an offset to the partition's end and returns the
// end. After ErrTrimmed the caller loads the partition anew.
func Follow(ctx context.Context, log Log, p Partition, from int64, apply func(Record)) (int64, error) {
	for {
		records, end, err := log.Read(ctx, p, from, 0)
		if err != nil {
			return from, err
		}
		for _, r := range records {
			apply(r)
			from = r.Offset + 1
		}
		if from >= end {
			return end, nil
		}
		if len(records) == 0 {
			return from, ErrTrimmed
		}
	}
}
