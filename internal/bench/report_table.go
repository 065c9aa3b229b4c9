package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// WriteJSON writes the results of all runs as an indented JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

// column is one measure in the table and HTML reports.
type column struct {
	title  string
	format string
	value  func(Result) float64
}

// columns returns the measures in the order of the reports.
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
		{"cut", "%.1f", func(r Result) float64 { return float64(r.Interrupted) }},
		{"ttft p95 ms", "%.0f", func(r Result) float64 { return r.FirstTokenP95 }},
		{"itl p95 ms", "%.1f", func(r Result) float64 { return r.InterTokenP95 }},
		{"load", "%.2f", func(r Result) float64 { return r.Load }},
		{"busy", "%.2f", func(r Result) float64 { return r.Utilization }},
		{"failed", "%.1f", func(r Result) float64 { return float64(r.Failed) }},
		{"unfinished", "%.1f", func(r Result) float64 { return float64(r.Unfinished) }},
	}
}

// groupByPolicy groups the results by policy. Policies keep the order of their first
// appearance.
func groupByPolicy(results []Result) ([]string, map[string][]Result) {
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

// meanAndHalfRange returns the mean over seeds and half the difference between the
// maximum and the minimum.
func meanAndHalfRange(results []Result, value func(Result) float64) (mean, halfRange float64) {
	minimum, maximum := math.Inf(1), math.Inf(-1)
	for _, r := range results {
		v := value(r)
		mean += v / float64(len(results))
		minimum = min(minimum, v)
		maximum = max(maximum, v)
	}
	return mean, (maximum - minimum) / 2
}

// WriteTable writes the mean over seeds of each measure and policy, with half the
// difference between the maximum and the minimum.
func WriteTable(w io.Writer, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	names, groups := groupByPolicy(results)
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
			mean, halfRange := meanAndHalfRange(groups[name], c.value)
			fmt.Fprintf(table, c.format+" ±"+c.format+"\t", mean, halfRange)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
