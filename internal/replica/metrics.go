package replica

import "github.com/VictoriaMetrics/metrics"

// The errors of the estimates that decide the choice of a replica: what was measured as a multiple of
// what was expected, for complete answers. Time is that from the choice to the end of the answer.
var (
	timeEstimateRatio   = metrics.NewHistogram("cowslipgw_replica_time_estimate_ratio")
	lengthEstimateRatio = metrics.NewHistogram("cowslipgw_replica_length_estimate_ratio")
)
