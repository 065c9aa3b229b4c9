package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Route kinds, the only values of the label "route".
const (
	kindChat   = "chat"
	kindModels = "models"
	kindApps   = "apps"
	kindHosts  = "entry-hosts"
	kindHealth = "healthz"
	kindOther  = "other"
)

// serverMetrics holds the metrics of one Server. Each label has a fixed set of values.
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

// countRequest records a request that has been answered, and its duration.
func (m *serverMetrics) countRequest(kind string, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cowslipgw_requests_total{route=%q,code=%q}", kind, statusLabel(status))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("cowslipgw_request_seconds{route=%q}", kind)).Update(took.Seconds())
}

// statusLabel limits the values of the label to statuses from 100 to 599.
func statusLabel(status int) string {
	if status < 100 || status > 599 {
		return "other"
	}
	return fmt.Sprint(status)
}

// countProblem counts a problem by its code.
func (m *serverMetrics) countProblem(code string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cowslipgw_problems_total{reason=%q}", code)).Inc()
}

// countRetry counts a further attempt at another replica.
func (m *serverMetrics) countRetry(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cowslipgw_retries_total{reason=%q}", reason)).Inc()
}

// observeFirstToken records the time from the arrival of a request to the first event
// for the caller.
func (m *serverMetrics) observeFirstToken(took time.Duration) {
	m.set.GetOrCreateHistogram("cowslipgw_first_token_seconds").Update(took.Seconds())
}

// countUnsettled counts calls whose settlement or claim was not accepted by the owner.
func (m *serverMetrics) countUnsettled(what string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cowslipgw_unsettled_total{what=%q}", what)).Inc()
}
