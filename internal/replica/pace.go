package replica

import "time"

const (
	// paceWeight is the weight of a new report in the moving average of the pace. One host sees
	// a replica once in several seconds, and the pace changes many times a second.
	paceWeight = 0.15
	// paceNewsWeight is the weight of the last report, beside the average, when it is new.
	// Machines are slow in spells of about 600 ms, so it is reduced to none over paceNewsAge.
	paceNewsWeight = 0.5
	paceNewsAge    = 400 * time.Millisecond
	// minPace and maxPace limit a report, so that one that is wrong has little effect.
	minPace = 0.2
	maxPace = 8
)

// pace is what a replica reports of how long work takes there, as a multiple of the usual time.
type pace struct {
	// mean is the moving average of the reports; 0 before the first.
	mean   float64
	last   float64
	lastAt time.Time
}

// observe adds a report; 0 stands for none.
func (p *pace) observe(reported float64, now time.Time) {
	if reported <= 0 {
		return
	}
	p.last, p.lastAt = min(max(reported, minPace), maxPace), now
	if p.mean == 0 {
		p.mean = p.last
		return
	}
	p.mean += paceWeight * (p.last - p.mean)
}

// current returns the expected pace, or 0 if the replica has reported none.
func (p *pace) current(now time.Time) float64 {
	age := now.Sub(p.lastAt)
	if age >= paceNewsAge {
		return p.mean
	}
	return p.mean + paceNewsWeight*(1-float64(age)/float64(paceNewsAge))*(p.last-p.mean)
}
