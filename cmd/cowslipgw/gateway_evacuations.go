package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"cowslipgw/internal/replica"
)

// writeEvacuations writes the metrics of the failure domains that are evacuated at this moment.
func writeEvacuations(w io.Writer, evacuations map[string]replica.Evacuation) {
	for _, domain := range slices.Sorted(maps.Keys(evacuations)) {
		e := evacuations[domain]
		// An error means that the reader has disconnected.
		_, _ = fmt.Fprintf(w, "cowslipgw_evacuation_seconds{domain=%q} %g\ncowslipgw_evacuation_in_flight{domain=%q} %d\n",
			domain, e.Seconds, domain, e.InFlight)
	}
}

// writeColdReplicas writes the number of cold replicas of each service that has any.
func writeColdReplicas(w io.Writer, counts map[string]int) {
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, "cowslipgw_cold_replicas{service=%q} %d\n", service, counts[service])
	}
}
