package replica

import "github.com/valyala/histogram"

const (
	// distributionWindow is the number of samples of which the figures of a distribution are
	// computed. They change with the route's traffic, so older samples are dropped.
	distributionWindow = 512
	// firstUpdate is the number of samples at which they are computed first.
	firstUpdate = 16
	// highQuantile is the quantile that stands for the tail.
	highQuantile = 0.9
)

// distribution describes the last samples of a quantity by its mean and a high quantile, which are 0
// before the first firstUpdate samples.
type distribution struct {
	mean, high float64

	samples *histogram.Fast
	sum     float64
	count   int
}

// observe adds a sample.
func (d *distribution) observe(v float64) {
	if d.samples == nil {
		d.samples = histogram.NewFast()
	}
	d.samples.Update(v)
	d.sum += v
	d.count++
	first := d.mean == 0 && d.count >= firstUpdate
	if first || d.count == distributionWindow {
		d.mean, d.high = d.sum/float64(d.count), d.samples.Quantile(highQuantile)
	}
	if d.count == distributionWindow {
		d.samples.Reset()
		d.sum, d.count = 0, 0
	}
}
