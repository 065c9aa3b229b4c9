package fleet

import (
	"context"
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// Appender appends records to the log with retries.
type Appender interface {
	// Append returns the offset of the appended record. After an error the record may or
	// may not be in the log.
	Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error)
}

// Source is a log stream that this host follows. Its records come from the log service
// or from peers.
type Source interface {
	// Offset returns the offset of the last record that this host has.
	Offset() structs.Offset
	// Offer adds records that a peer forwarded and returns how many of them were new.
	Offer(records []logservice.Record) int
	// Since returns up to limit records after the given offset. It returns false if those
	// records are no longer cached.
	Since(after structs.Offset, limit int) ([]logservice.Record, bool)
	// Age returns the time since the last read that reached the end of the log. It returns
	// false if there was no such read yet.
	Age() (time.Duration, bool)
}

// Caller sends RPCs to other hosts.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}
