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

// page is the data of the HTML template.
type page struct {
	Deployment, Scenario string
	Seeds                []uint64
	Plots                []plot
	Titles               []string
	Rows                 []tableRow
}

// plot is a bar chart of one measure with a bar for each policy.
type plot struct {
	Title         string
	Width, Height int
	Bars          []bar
}

// bar shows the mean, minimum and maximum over seeds for one policy. Positions are in
// pixels.
type bar struct {
	Label, Value      string
	Y, TextY          int
	Width, MinX, MaxX float64
	TextX             float64
}

// tableRow is the table row of one policy.
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

// WriteHTML writes a self-contained page with plots and a table.
func WriteHTML(w io.Writer, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	names, groups := groupByPolicy(results)
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
			mean, halfRange := meanAndHalfRange(groups[name], c.value)
			row.Cells = append(row.Cells, fmt.Sprintf(c.format+" ± "+c.format, mean, halfRange))
		}
		p.Rows = append(p.Rows, row)
	}
	return reportTemplate.Execute(w, p)
}

// newPlot lays out the plot of one measure.
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
		mean, halfRange := meanAndHalfRange(groups[name], c.value)
		low, high := minMax(groups[name], c.value)
		p.Bars = append(p.Bars, bar{
			Label: name, Value: fmt.Sprintf(c.format+" ± "+c.format, mean, halfRange),
			Y: i * barDistance, TextY: i*barDistance + barHeight - 4,
			Width: mean * scale, MinX: labelWidth + low*scale, MaxX: labelWidth + high*scale,
			TextX: labelWidth + high*scale + 8,
		})
	}
	return p
}

// minMax returns the minimum and the maximum value over results.
func minMax(results []Result, value func(Result) float64) (minimum, maximum float64) {
	minimum = value(results[0])
	maximum = minimum
	for _, r := range results[1:] {
		minimum = min(minimum, value(r))
		maximum = max(maximum, value(r))
	}
	return minimum, maximum
}
