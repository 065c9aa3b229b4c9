package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// requestsUnanswered counts the requests that ended without a complete answer, by reason.
func requestsUnanswered(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("cowslipgw_requests_unanswered_total{reason=%q}", reason))
}

// callerWriteFailures counts the answers that could not be written, by reason.
func callerWriteFailures(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("cowslipgw_caller_write_failures_total{reason=%q}", reason))
}
