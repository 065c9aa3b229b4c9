package bench

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
)

//go:embed report.html
var reportText string

var reportTemplate = template.Must(template.New("report").Parse(reportText))

// page is what the HTML report shows.
type page struct {
	Deployment, Scenario string
	Seeds                []uint64
	Plots                []plot
	Titles               []string
	Rows                 []tableRow
}

// plot is a bar for each policy.
type plot struct {
	Title         string
	Width, Height int
	Bars          []bar
}

// bar is one policy's mean with its least and largest seed; positions are in
// pixels.
type bar struct {
	Label, Value         string
	Y, TextY             int
	Width, Least, Larger float64
	TextX                float64
}

// tableRow is the row of one policy.
type tableRow struct {
	Policy string
	Cells  []string
}

const (
	plotWidth   = 760
	labelWidth  = 130
	valueWidth  = 130
	barHeight   = 18
	barDistance = 26
)

// WriteHTML writes one self-contained page with plots and a table.
func WriteHTML(w io.Writer, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	names, groups := byPolicy(results)
	p := page{Deployment: results[0].Deployment, Scenario: results[0].Scenario}
	for _, r := range groups[names[0]] {
		p.Seeds = append(p.Seeds, r.Seed)
	}
	for _, c := range columns() {
		p.Titles = append(p.Titles, c.title)
		p.Plots = append(p.Plots, newPlot(c, names, groups))
	}
	for _, name := range names {
		row := tableRow{Policy: name}
		for _, c := range columns() {
			mean, half := spread(groups[name], c.value)
			row.Cells = append(row.Cells, fmt.Sprintf(c.format+" ± "+c.format, mean, half))
		}
		p.Rows = append(p.Rows, row)
	}
	return reportTemplate.Execute(w, p)
}

// newPlot lays out one measure.
func newPlot(c column, names []string, groups map[string][]Result) plot {
	p := plot{Title: c.title, Width: plotWidth, Height: barDistance*len(names) + barDistance/2}
	largest := 0.0
	for _, name := range names {
		for _, r := range groups[name] {
			largest = max(largest, c.value(r))
		}
	}
	scale := ratio(plotWidth-labelWidth-valueWidth, largest)
	for i, name := range names {
		mean, half := spread(groups[name], c.value)
		least, larger := extremes(groups[name], c.value)
		p.Bars = append(p.Bars, bar{
			Label: name, Value: fmt.Sprintf(c.format+" ± "+c.format, mean, half),
			Y: i * barDistance, TextY: i*barDistance + barHeight - 4,
			Width: mean * scale, Least: labelWidth + least*scale, Larger: labelWidth + larger*scale,
			TextX: labelWidth + larger*scale + 8,
		})
	}
	return p
}

// extremes returns the least and the largest value.
func extremes(results []Result, value func(Result) float64) (least, largest float64) {
	least = value(results[0])
	largest = least
	for _, r := range results[1:] {
		least = min(least, value(r))
		largest = max(largest, value(r))
	}
	return least, largest
}
