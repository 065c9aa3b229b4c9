package fleettest

import (
	"context"
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// retryEvery is the pause between two tries of an append or read that failed.
const retryEvery = 100 * time.Millisecond

// appender appends for one host and retries with the same ID.
type appender struct {
	log  *Log
	host structs.HostID
}

// Append retries until the record is in the log or ctx ends.
func (a appender) Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error) {
	for {
		offset, err := a.log.append(a.host, stream, id, data)
		if err == nil {
			return offset, nil
		}
		select {
		case <-ctx.Done():
			return 0, logservice.ErrUnavailable
		case <-time.After(retryEvery):
		}
	}
}
