package logservice

import (
	"context"
	"time"

	"cowslipgw/internal/structs"
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record and returns its offset. The id makes a retry harmless:
	// readers fold a record ID once. After ErrUnavailable the record may or may not be
	// in the log.
	Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error)
	// Read returns up to limit records after the offset and waits up to wait for a
	// first one. ErrTrimmed means that records after the offset are gone; Batch.First
	// is set then.
	Read(ctx context.Context, stream string, after structs.Offset, limit int, wait time.Duration) (Batch, error)
}
