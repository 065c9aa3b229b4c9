package fleettest

import (
	"context"
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

const (
	// retryInterval is the longest wait between two attempts of an append.
	retryInterval = 100 * time.Millisecond
	// outageRetryInterval is the longest wait between two reads of an unavailable log.
	outageRetryInterval = 5 * time.Second
)

// appender is the fleet.Appender of one host. It retries appends under the same ID.
type appender struct {
	log  *Log
	host structs.HostID
}

// Append retries until the log confirms the append or ctx is done.
func (a appender) Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error) {
	for {
		offset, err := a.log.append(a.host, stream, id, data)
		if err == nil {
			return offset, nil
		}
		a.log.awaitChange(ctx, retryInterval)
		if ctx.Err() != nil {
			return 0, logservice.ErrUnavailable
		}
	}
}
