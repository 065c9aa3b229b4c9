package admission

import (
	"math"
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// wantedTime is the averaging time of the wanted slots of a kind.
	wantedTime = time.Second
	// demandTime is the averaging time of the slots that a running program uses.
	demandTime = 3 * time.Second
	// priorSlots is the number of slots that a running program is assumed to use until some are
	// observed: a program spends most of its time in one turn at a time.
	priorSlots = 0.8
	// priorPrograms is the weight of this prior, as a number of running programs.
	priorPrograms = 4
)

// routeDemand learns how many slots a running program of one route uses.
type routeDemand struct {
	// running counts the admitted programs that are expected to run.
	running timeline
	// programs and inFlight are averages of the number of running programs and of their requests in
	// flight, at observedAt.
	programs, inFlight float64
	observedAt         boottime.Instant
}

// slots returns the expected number of slots that a running program uses.
func (d *routeDemand) slots() float64 {
	return (d.inFlight + priorSlots*priorPrograms) / (d.programs + priorPrograms)
}

// observe adds the number of requests in flight of the programs that run now.
func (d *routeDemand) observe(now boottime.Instant, inFlight int) {
	d.running.advance(now)
	weight := 1 - math.Exp(-float64(now.Sub(d.observedAt))/float64(demandTime))
	d.observedAt = now
	d.programs += weight * (d.running.at(sliceOf(now)) - d.programs)
	d.inFlight += weight * (float64(inFlight) - d.inFlight)
}

// kindKey identifies a group of programs that compete as one.
type kindKey struct {
	route    string
	priority int
}

// kind is what the pool knows of one group of programs.
type kind struct {
	kindKey
	// promised is the expected demand of the admitted programs.
	promised timeline
	// wanted is the number of slots that all programs which ask for a place would use, as an
	// average at wantedAt.
	wanted   float64
	wantedAt boottime.Instant
}

// currentWanted returns the wanted slots, decayed since the last request.
func (k *kind) currentWanted(now boottime.Instant) float64 {
	return k.wanted * math.Exp(-float64(now.Sub(k.wantedAt))/float64(wantedTime))
}

// want adds a program that uses slots for a time.
func (k *kind) want(now boottime.Instant, slots float64, d time.Duration) {
	k.wanted = k.currentWanted(now) + slots*float64(d)/float64(wantedTime)
	k.wantedAt = now
}
