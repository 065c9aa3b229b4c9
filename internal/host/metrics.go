package host

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// wireMetrics sets up the gauges of this host. The entry server has its own metric set.
func (h *Host) wireMetrics() {
	h.metrics = metrics.NewSet()
	gauge := func(name string, value func() float64) { h.metrics.NewGauge(name, value) }
	gauge("cowslipgw_view_number", func() float64 { return float64(h.member.View().Number) })
	gauge("cowslipgw_view_hosts", func() float64 { return float64(len(h.member.View().Hosts)) })
	gauge("cowslipgw_lists_version", func() float64 { return float64(h.store.Current().Version) })
	gauge("cowslipgw_lists_current", func() float64 { return toFloat(h.freshness.Current()) })
	gauge("cowslipgw_ready", func() float64 { return toFloat(h.Ready()) })
	gauge("cowslipgw_partitions_owned", func() float64 { return float64(len(h.manager.Owned())) })
	gauge("cowslipgw_settlements_waiting", func() float64 { return float64(h.owners.PendingSettlements()) })
	gauge("cowslipgw_appends_waiting", func() float64 { return float64(h.appender.Queued()) })
	gauge("cowslipgw_log_reachable", func() float64 {
		for _, follower := range h.followers {
			if !follower.Reachable() {
				return 0
			}
		}
		return 1
	})
}

// writeMetrics writes the metrics of this host. Programs and claims are counted in a
// single pass over the owned partitions, because the pass takes each partition's lock.
func (h *Host) writeMetrics(w io.Writer) {
	counts := h.service.Counts()
	h.metrics.GetOrCreateGauge("cowslipgw_programs_owned", nil).Set(float64(counts.Programs))
	h.metrics.GetOrCreateGauge("cowslipgw_claims_owned", nil).Set(float64(counts.Claims))
	h.metrics.WritePrometheus(w)
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
