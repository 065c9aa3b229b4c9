package storelog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrConflict means that the partition did not end at the expected offset and nothing
	// was appended.
	ErrConflict = errors.New("partition does not end at the expected offset")
	// ErrTrimmed means that some of the requested records are no longer retained.
	ErrTrimmed = errors.New("records have been trimmed")
	// ErrNotFound means that a key has no record.
	ErrNotFound = errors.New("no such record")
	// ErrUnavailable means that the store refused the call and did not execute it.
	ErrUnavailable = errors.New("store unavailable")
	// ErrRejected is an ErrUnavailable that repeating the call does not change: one of the records
	// is malformed or too long.
	ErrRejected = fmt.Errorf("%w: records rejected", ErrUnavailable)
	// ErrUnknown means that no response arrived; the call may take effect, even later.
	ErrUnknown = errors.New("outcome unknown")
)

// AnyEnd is the expected end that makes an append unconditional.
const AnyEnd int64 = -1

// Partition identifies a partition of a topic.
type Partition struct {
	Topic string
	Part  int
}

// Record is a keyed record of a partition. A record without a value is a tombstone that
// removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is one page of a listing of the newest record of each key.
type Page struct {
	Records []Record
	// More is set if another page follows after the last key of this one.
	More bool
	// End is the end offset of the partition when the page was read.
	End int64
}

// Log is the interface of the store. Its methods are safe for concurrent use and return
// when ctx is done.
type Log interface {
	// Append atomically appends records if the partition ends at the offset expected. It
	// returns the new end. With ErrConflict it returns the current end, or -1 if that is
	// unknown.
	Append(ctx context.Context, p Partition, expected int64, records []Record) (int64, error)
	// Read returns the records from an offset on and the partition's end. If there are
	// none, it waits up to wait for the first one.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) ([]Record, int64, error)
	// At returns the record with an offset. It reads about limit bytes, which the record must not
	// exceed.
	At(ctx context.Context, p Partition, offset int64, limit int) (Record, error)
	// Newest returns a page of the newest record of each key, starting after the given
	// key.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// Load calls apply for the newest record of every key and then for the records that were
// appended during the listing. It returns the offset up to which the partition was read.
// Apply may be called several times for a key, with increasing offsets.
func Load(ctx context.Context, log Log, p Partition, apply func(Record)) (int64, error) {
	after := ""
	start := int64(-1)
	for {
		page, err := log.Newest(ctx, p, after)
		if err != nil {
			return 0, err
		}
		if start < 0 {
			start = page.End
		}
		for _, r := range page.Records {
			apply(r)
		}
		if !page.More || len(page.Records) == 0 {
			if page.End == start {
				return start, nil
			}
			return Follow(ctx, log, p, start, apply)
		}
		last := page.Records[len(page.Records)-1].Key
		if last == after {
			return 0, errNoProgress
		}
		after = last
	}
}

// errNoProgress is returned if a page of a listing does not continue the one before.
var errNoProgress = errors.New("listing of records makes no progress")

// Follow calls apply for all records from an offset to the partition's end and returns the
// end. After ErrTrimmed the caller must load the partition again.
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

// Lookup returns the newest record of a key.
func Lookup(ctx context.Context, log Log, p Partition, key string) (Record, error) {
	if key == "" {
		return Record{}, ErrNotFound
	}
	// Only keys that share the prefix lie between it and the key.
	for after := key[:len(key)-1]; ; {
		page, err := log.Newest(ctx, p, after)
		if err != nil {
			return Record{}, err
		}
		for _, r := range page.Records {
			if r.Key == key {
				return r, nil
			}
		}
		if !page.More || len(page.Records) == 0 {
			return Record{}, ErrNotFound
		}
		last := page.Records[len(page.Records)-1].Key
		if last >= key || last <= after {
			return Record{}, ErrNotFound
		}
		after = last
	}
}
