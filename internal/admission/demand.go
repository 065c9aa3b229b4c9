package admission

import (
	"math"
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// wantedTime is the averaging time of the slots that the programs of a kind want.
	wantedTime = 600 * time.Millisecond
	// workTime is the averaging time of the work of programs.
	workTime = 5 * time.Second
	// priorWork is the work of a program, as a part of its time in slots, that is assumed until some is
	// observed. priorWeight is the weight of this prior, as a sum of the times of programs.
	priorWork   = 0.4
	priorWeight = 10 * time.Second
	// runningFraction is the part of a program's time that it needs to run on busy engines. The rest
	// is the time that it can wait for a place.
	runningFraction = 0.7
)

// decayed returns the weight of a value after a time, if values lose 1/e of their weight in an
// averaging time.
func decayed(elapsed, averaging time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(averaging))
}

// routeDemand learns how much work the programs of one route cause: the time in which they have
// requests in flight.
type routeDemand struct {
	// work is the observed work and times the sum of the times of the programs that cause it, both as
	// moving sums at updatedAt.
	work, times float64
	updatedAt   boottime.Instant
	// meanWork and meanDuration are moving averages over the programs that asked to begin in time.
	meanWork     float64
	meanDuration time.Duration
}

// averageWeight is the weight of a new program in the averages of its route.
const averageWeight = 0.05

// average adds a program that asked to begin in time.
func (d *routeDemand) average(work float64, duration time.Duration) {
	if d.meanDuration == 0 {
		d.meanWork, d.meanDuration = work, duration
	}
	d.meanWork += averageWeight * (work - d.meanWork)
	d.meanDuration += time.Duration(averageWeight * float64(duration-d.meanDuration))
}

func (d *routeDemand) advance(now boottime.Instant) {
	weight := decayed(now.Sub(d.updatedAt), workTime)
	d.work, d.times = d.work*weight, d.times*weight
	d.updatedAt = now
}

// workOf returns the expected work of a program with the given time, in slot-seconds.
func (d *routeDemand) workOf(programTime time.Duration) float64 {
	prior := priorWeight.Seconds()
	return programTime.Seconds() * (d.work + priorWork*prior) / (d.times + prior)
}

// kindKey identifies a group of programs that compete as one.
type kindKey struct {
	route    string
	priority int
}

// kind is what a pool knows of one group of programs.
type kind struct {
	kindKey
	demand *routeDemand
	// wanted is the number of slots that all programs which ask to begin would use, and expected the
	// number that the admitted ones are expected to use, as averages at updatedAt.
	wanted, expected float64
	updatedAt        boottime.Instant
	// nextPlace is the time of the next place that is not promised to a refused program.
	nextPlace boottime.Instant
}

func (k *kind) advance(now boottime.Instant) {
	elapsed := now.Sub(k.updatedAt)
	k.wanted *= decayed(elapsed, wantedTime)
	k.expected *= decayed(elapsed, k.duration())
	k.updatedAt = now
}

// want adds a program that asks to begin for the first time.
func (k *kind) want(pl *place) {
	k.wanted += pl.work / wantedTime.Seconds()
	k.demand.average(pl.work, pl.duration)
}

// duration returns the average of the expected durations of programs.
func (k *kind) duration() time.Duration { return max(k.demand.meanDuration, slice) }

// begin adds an admitted program.
func (k *kind) begin(pl *place) {
	k.expected += pl.work / k.duration().Seconds()
}
