package logservice

import (
	"context"
	"time"

	"cowslipgw/internal/structs"
)

// Log is the append-only log of the platform.
type Log interface {
	// Append appends one record and returns its offset. Retries with the same id are
	// idempotent, because readers apply each record ID once. After ErrUnavailable the
	// record may or may not be in the log.
	Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error)
	// Read returns up to limit records after the given offset. If there are none, it waits
	// up to wait for one. ErrTrimmed means that records after the offset were trimmed;
	// Batch.First is then set.
	Read(ctx context.Context, stream string, after structs.Offset, limit int, wait time.Duration) (Batch, error)
}
