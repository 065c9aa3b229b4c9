package intake

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/event"
)

// reportInterval is the shortest time between two log lines of one listener.
const reportInterval = 10 * time.Second

// reporter counts refused and closed connections of one listener by cause, and logs them at most
// once per reportInterval.
type reporter struct {
	name   string
	events *event.Logger

	mu sync.Mutex
	// counts holds what was not logged yet.
	counts map[cause]int
	// waiting is set while the next line is due.
	waiting bool
	last    time.Time
}

// note counts one connection.
func (r *reporter) note(why cause) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cowslipgw_intake_closed_total{listener=%q,cause=%q}`, r.name, why)).Inc()
	if why == causeIdle {
		return // ordinary callers leave connections idle
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[cause]int)
	}
	r.counts[why]++
	if !r.waiting {
		r.waiting = true
		time.AfterFunc(max(0, reportInterval-time.Since(r.last)), r.report)
	}
}

// report logs the counts since the last line.
func (r *reporter) report() {
	r.mu.Lock()
	counts := r.counts
	r.counts, r.waiting, r.last = nil, false, time.Now()
	r.mu.Unlock()
	fields := event.Fields{"listener": r.name}
	for why, count := range counts {
		fields[string(why)] = count
	}
	r.events.Log(event.ConnectionsLimited, fields)
}
