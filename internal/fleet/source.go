package fleet

import (
	"context"
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// Appender appends records to the log with retries.
type Appender interface {
	// Append returns the record's offset. An error leaves open whether it was appended.
	Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error)
}

// Source is a log stream that this host follows, from the log and from peers.
type Source interface {
	// Offset is the offset of the last record that this host has.
	Offset() structs.Offset
	// Offer takes records that a peer forwarded and returns how many were new.
	Offer(records []logservice.Record) int
	// Since returns up to limit records after the offset; false means that they are not
	// kept any more.
	Since(after structs.Offset, limit int) ([]logservice.Record, bool)
	// Age is the time since the last read to the end of the log; false means none yet.
	Age() (time.Duration, bool)
}

// Caller calls a service of another host.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}
