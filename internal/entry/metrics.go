package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Route kinds, the only values of label "route".
const (
	kindChat   = "chat"
	kindModels = "models"
	kindApps   = "apps"
	kindHosts  = "entry-hosts"
	kindHealth = "healthz"
	kindOther  = "other"
)

// serverMetrics are the metrics of one Server. Labels have a fixed set of values.
type serverMetrics struct {
	set     *metrics.Set
	active  atomic.Int64
	streams atomic.Int64
}

func newServerMetrics() *serverMetrics {
	m := &serverMetrics{set: metrics.NewSet()}
	m.set.NewGauge("cowslipgw_requests_active", func() float64 { return float64(m.active.Load()) })
	m.set.NewGauge("cowslipgw_streams_open", func() float64 { return float64(m.streams.Load()) })
	return m
}

// answered counts a request that was answered.
func (m *serverMetrics) answered(kind string, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cowslipgw_requests_total{route=%q,code=%q}", kind, statusLabel(status))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("cowslipgw_request_seconds{route=%q}", kind)).Update(took.Seconds())
}

// statusLabel bounds the label to statuses of the registered range.
func statusLabel(status int) string {
	if status < 100 || status > 599 {
		return "other"
	}
	return fmt.Sprint(status)
}

// refused counts a problem by its code.
func (m *serverMetrics) refused(code string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cowslipgw_problems_total{reason=%q}", code)).Inc()
}

// retried counts a second attempt at another replica.
func (m *serverMetrics) retried(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cowslipgw_retries_total{reason=%q}", reason)).Inc()
}

// firstToken records the time from acceptance to the first event for the caller.
func (m *serverMetrics) firstToken(took time.Duration) {
	m.set.GetOrCreateHistogram("cowslipgw_first_token_seconds").Update(took.Seconds())
}

// unsettled counts calls whose settlement or claim the owner did not take.
func (m *serverMetrics) unsettled(what string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cowslipgw_unsettled_total{what=%q}", what)).Inc()
}
