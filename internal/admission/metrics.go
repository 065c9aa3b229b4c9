package admission

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// decisions returns the counter of decisions on programs of a route.
func decisions(reason Reason, route string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`cowslipgw_admission_decisions_total{reason=%q,route=%q}`, reason, route))
}

// updateGauges publishes the figures of the last decision of a service's owner, in slots.
func updateGauges(service string, d Decision) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`cowslipgw_admission_slots{service=%q}`, service), nil).Set(d.Slots)
	metrics.GetOrCreateGauge(fmt.Sprintf(`cowslipgw_admission_in_flight{service=%q}`, service), nil).Set(d.InFlight)
	metrics.GetOrCreateGauge(fmt.Sprintf(`cowslipgw_admission_promised{service=%q}`, service), nil).Set(d.Promised)
}
