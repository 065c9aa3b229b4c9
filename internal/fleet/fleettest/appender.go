package fleettest

import (
	"context"
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

const (
	// retryEvery is the pause between two tries of an append whose answer was lost.
	retryEvery = 100 * time.Millisecond
	// outageWait is how long a host waits for the end of an outage between two tries.
	outageWait = 5 * time.Second
)

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
		a.log.awaitChange(ctx, retryEvery)
		if ctx.Err() != nil {
			return 0, logservice.ErrUnavailable
		}
	}
}
