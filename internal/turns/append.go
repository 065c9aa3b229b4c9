package turns

import (
	"context"
	"errors"
	"time"

	"cowslipgw/internal/storelog"
)

const (
	// hedgeMin is the minimum time without an answer after which an append is sent a second
	// time. The store may lose an answer; since appends are conditional, at most one of the
	// two takes effect.
	hedgeMin = 80 * time.Millisecond
	// hedgeMultiple is the same threshold as a multiple of the average append time, so that
	// a slow store does not receive each append twice.
	hedgeMultiple = 4
)

// transferRate is the number of bytes of an append that reach the store in a millisecond over a
// slow link.
const transferRate = 2000

// transferTime returns how long the records of an append are under way.
func transferTime(records []storelog.Record) time.Duration {
	size := 0
	for _, r := range records {
		size += len(r.Value)
	}
	return time.Duration(size/transferRate) * time.Millisecond
}

// appendResult is the outcome of one append.
type appendResult struct {
	end int64
	err error
}

// append appends records on condition that the partition ends at expected, and sends a
// second, hedged append if no answer arrives in the usual time.
func (o *Owner) append(ctx context.Context, where storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	const tries = 2
	outcomes := make(chan appendResult, tries)
	try := func() {
		start := time.Now()
		end, err := o.log.Append(ctx, where, expected, records)
		if err == nil {
			o.appendTime.Add(time.Since(start))
		}
		outcomes <- appendResult{end, err}
	}
	go try()
	hedge := time.NewTimer(max(hedgeMin, hedgeMultiple*o.appendTime.Mean()) + transferTime(records))
	defer hedge.Stop()
	var failure error
	for started, finished := 1, 0; finished < started; {
		select {
		case <-hedge.C:
			started++
			go try()
		case got := <-outcomes:
			finished++
			if got.err == nil || errors.Is(got.err, storelog.ErrConflict) || errors.Is(got.err, storelog.ErrRejected) {
				return got.end, got.err
			}
			// ErrUnavailable from one append says nothing about the outcome of the other.
			if failure == nil || errors.Is(failure, storelog.ErrUnavailable) {
				failure = got.err
			}
		}
	}
	return -1, failure
}
