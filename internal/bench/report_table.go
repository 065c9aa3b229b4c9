package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// WriteJSON writes the results of all runs.
func WriteJSON(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

// column is one column of the reports.
type column struct {
	title  string
	format string
	value  func(Result) float64
}

// columns are the measures in the reports.
func columns() []column {
	return []column{
		{"latency mean s", "%.2f", func(r Result) float64 { return r.Latency.Mean }},
		{"p50", "%.2f", func(r Result) float64 { return r.Latency.P50 }},
		{"p95", "%.2f", func(r Result) float64 { return r.Latency.P95 }},
		{"p99", "%.2f", func(r Result) float64 { return r.Latency.P99 }},
		{"slowdown mean", "%.2f", func(r Result) float64 { return r.Slowdown.Mean }},
		{"slowdown p95", "%.2f", func(r Result) float64 { return r.Slowdown.P95 }},
		{"wasted %", "%.2f", func(r Result) float64 { return 100 * r.WastedCache }},
		{"worst account p95", "%.2f", func(r Result) float64 { return r.WorstSlowdown }},
		{"vs absent", "%.2f", func(r Result) float64 { return r.WorstRatio }},
		{"least served", "%.3f", func(r Result) float64 { return r.LeastServed }},
		{"wrong refusals", "%.1f", func(r Result) float64 { return float64(r.WrongRefusals) }},
		{"refused", "%.0f", func(r Result) float64 { return float64(r.Refused) }},
		{"requests", "%.0f", func(r Result) float64 { return float64(r.Requests) }},
		{"cut", "%.1f", func(r Result) float64 { return float64(r.Cut) }},
		{"ttft p95 ms", "%.0f", func(r Result) float64 { return r.FirstTokenP95 }},
		{"itl p95 ms", "%.1f", func(r Result) float64 { return r.InterTokenP95 }},
		{"load", "%.2f", func(r Result) float64 { return r.Load }},
		{"busy", "%.2f", func(r Result) float64 { return r.Busy }},
		{"failed", "%.1f", func(r Result) float64 { return float64(r.Failed) }},
		{"unfinished", "%.1f", func(r Result) float64 { return float64(r.Unfinished) }},
	}
}

// byPolicy groups the results, in order of first appearance.
func byPolicy(results []Result) ([]string, map[string][]Result) {
	var names []string
	groups := make(map[string][]Result)
	for _, r := range results {
		if groups[r.Policy] == nil {
			names = append(names, r.Policy)
		}
		groups[r.Policy] = append(groups[r.Policy], r)
	}
	return names, groups
}

// spread returns the mean over seeds and the half width between least and largest.
func spread(results []Result, value func(Result) float64) (mean, half float64) {
	least, largest := math.Inf(1), math.Inf(-1)
	for _, r := range results {
		v := value(r)
		mean += v / float64(len(results))
		least = min(least, v)
		largest = max(largest, v)
	}
	return mean, (largest - least) / 2
}

// WriteTable writes the mean over seeds of each policy, with half the distance
// between the least and the largest seed.
func WriteTable(w io.Writer, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	names, groups := byPolicy(results)
	fmt.Fprintf(w, "%s, %s, %d seeds, mean ± half the range\n",
		results[0].Deployment, results[0].Scenario, len(groups[names[0]]))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "\t")
	for _, name := range names {
		fmt.Fprintf(table, "%s\t", name)
	}
	fmt.Fprintln(table)
	for _, c := range columns() {
		fmt.Fprintf(table, "%s\t", c.title)
		for _, name := range names {
			mean, half := spread(groups[name], c.value)
			fmt.Fprintf(table, c.format+" ±"+c.format+"\t", mean, half)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
