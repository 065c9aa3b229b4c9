package turns

import (
	"context"
	"errors"
	"time"

	"cowslipgw/internal/storelog"
)

const (
	// hedgeMin is the least time without an answer after which an append is sent a second
	// time. The store may lose an answer, and the condition keeps the second append from
	// taking effect besides the first.
	hedgeMin = 80 * time.Millisecond
	// hedgeMultiple is the same as a multiple of the usual time of an append, so that a slow
	// store does not get each append twice.
	hedgeMultiple = 4
)

// appended is the outcome of one append.
type appended struct {
	end int64
	err error
}

// append appends records on condition that the partition ends at expected, and repeats
// the append once if no answer comes in the usual time.
func (h *Home) append(ctx context.Context, where storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	const tries = 2
	outcomes := make(chan appended, tries)
	try := func() {
		start := time.Now()
		end, err := h.log.Append(ctx, where, expected, records)
		if err == nil {
			h.appendTime.enter(time.Since(start))
		}
		outcomes <- appended{end, err}
	}
	go try()
	hedge := time.NewTimer(max(hedgeMin, hedgeMultiple*h.appendTime.mean()))
	defer hedge.Stop()
	var failure error
	for begun, ended := 1, 0; ended < begun; {
		select {
		case <-hedge.C:
			begun++
			go try()
		case got := <-outcomes:
			ended++
			if got.err == nil || errors.Is(got.err, storelog.ErrConflict) {
				return got.end, got.err
			}
			// A refusal of one says nothing of the other.
			if failure == nil || errors.Is(failure, storelog.ErrUnavailable) {
				failure = got.err
			}
		}
	}
	return -1, failure
}
