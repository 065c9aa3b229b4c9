package admission

import (
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// runningFraction is the part of a program's time that it needs to run on busy engines. The rest
	// is the time that it can wait for a place.
	runningFraction = 0.75
	// fillLevel is the part of the slots that may be promised. What is above it absorbs the
	// difference between expected and actual demand.
	fillLevel = 0.95
	// spareLevel is the part of the slots up to which programs begin that cannot be in time.
	spareLevel = 0.7
	// urgentMargin is the part of the slots that is left to more urgent programs for each step of
	// priority, up to maxUrgentSteps.
	urgentMargin   = 0.03
	maxUrgentSteps = 2
	// guaranteedPart is the part of its proportional share that each kind gets, however many
	// urgent programs there are.
	guaranteedPart = 0.5
	// backlogTime is how long a backlog beyond the promised demand is expected to last.
	backlogTime = 400 * time.Millisecond
	// returnGrace is how long a place is kept for a program that does not come back in time.
	returnGrace = 300 * time.Millisecond
	// rememberTime is how long the pool remembers a program that it refused.
	rememberTime = 5 * time.Second
	// maxRememberTime limits how long it remembers one that it admitted, whatever time a caller gives.
	maxRememberTime = 2 * time.Minute
	// minRetryAfter keeps a refused program from returning before the next report.
	minRetryAfter = 50 * time.Millisecond
	// learnAfter is how long a pool must have admitted programs before it knows how many run.
	learnAfter = 4 * time.Second
)

// Pool decides which programs of one service begin. It is not safe for concurrent use, and the
// times that it is given must not decrease.
type Pool struct {
	slots    float64
	promised timeline
	// late spreads the returns of programs that cannot be in time; their demand is not promised.
	late     timeline
	kinds    map[kindKey]*kind
	routes   map[uint32]*routeDemand
	programs map[uint64]*place
	// inFlight is the number of requests that all hosts have in flight.
	inFlight float64
	// firstAdmission is the time of the first decision; 0 before it.
	firstAdmission boottime.Instant
	sweptAt        boottime.Instant
}

// NewPool returns a pool without slots.
func NewPool() *Pool {
	return &Pool{kinds: make(map[kindKey]*kind), routes: make(map[uint32]*routeDemand), programs: make(map[uint64]*place)}
}

// SetSlots sets the number of requests that the service's replicas run at the same time.
func (p *Pool) SetSlots(slots float64) { p.slots = slots }

// Observe updates the pool with the number of requests that all hosts have in flight, by the hash of
// their route.
func (p *Pool) Observe(now boottime.Instant, inFlight map[uint32]int) {
	total := 0
	for _, n := range inFlight {
		total += n
	}
	p.inFlight = float64(total)
	// Requests that wait in replicas would count as demand.
	if p.firstAdmission == 0 || now.Sub(p.firstAdmission) < learnAfter || p.inFlight > p.slots {
		return
	}
	for route, d := range p.routes {
		d.observe(now, inFlight[route])
	}
}

// Admit decides whether a program may begin now.
func (p *Pool) Admit(now boottime.Instant, r Request) Decision {
	p.advance(now)
	if p.firstAdmission == 0 {
		p.firstAdmission = now
	}
	current := sliceOf(now)
	known := p.programs[r.Program]
	if known != nil && known.begun {
		known.forgetAt = max(known.forgetAt, now.Add(rememberTime))
		return p.decision(Admitted, 0, current)
	}
	pl := p.place(now, r, known)
	p.release(pl)
	n := slicesIn(pl.duration)
	if start, ok := p.fit(pl, current, pl.latest, n); ok {
		p.reserve(pl, start, n)
		if start == current {
			pl.begin(now)
			return p.decision(Admitted, 0, current)
		}
		return p.decision(NoCapacity, time.Duration(start-current)*slice, current)
	}
	return p.admitLate(now, pl, n)
}

// advance drops what has passed.
func (p *Pool) advance(now boottime.Instant) {
	p.promised.advance(now)
	p.late.advance(now)
	current := sliceOf(now)
	for key, k := range p.kinds {
		k.promised.advance(now)
		if k.currentWanted(now) < minWanted && k.promised.at(current) == 0 && now.Sub(k.wantedAt) > rememberTime {
			delete(p.kinds, key)
		}
	}
	for _, d := range p.routes {
		d.running.advance(now)
	}
	if now.Sub(p.sweptAt) < slice {
		return
	}
	p.sweptAt = now
	for program, pl := range p.programs {
		if pl.reserved && !pl.begun && current > pl.first+int64(returnGrace/slice) {
			p.release(pl)
		}
		if now >= pl.forgetAt {
			p.release(pl)
			delete(p.programs, program)
		}
	}
}

// minWanted is the number of wanted slots below which a kind without programs is forgotten.
const minWanted = 0.01

// place returns the place of a program that asks to begin; known is nil if it has not asked
// before.
func (p *Pool) place(now boottime.Instant, r Request, known *place) *place {
	if known != nil {
		known.forgetAt = now.Add(rememberTime)
		return known
	}
	key := kindKey{r.Route, r.Priority}
	k := p.kinds[key]
	if k == nil {
		k = &kind{kindKey: key}
		k.promised.advance(now)
		p.kinds[key] = k
	}
	routeKey := Hash(r.Route)
	route := p.routes[routeKey]
	if route == nil {
		route = &routeDemand{observedAt: now}
		route.running.advance(now)
		p.routes[routeKey] = route
	}
	duration := max(time.Duration(runningFraction*float64(r.TimeLeft)), 0)
	pl := &place{kind: k, route: route, slots: route.slots(), duration: duration, deadline: now.Add(r.TimeLeft),
		latest: sliceOf(now.Add(r.TimeLeft - duration)), forgetAt: now.Add(rememberTime)}
	k.want(now, pl.slots, duration)
	p.programs[r.Program] = pl
	return pl
}

// reserve keeps n slices from start for a program.
func (p *Pool) reserve(pl *place, start, n int64) {
	pl.first, pl.end, pl.reserved = start, start+n, true
	p.promised.add(pl.first, pl.end, pl.slots)
	pl.kind.promised.add(pl.first, pl.end, pl.slots)
	pl.route.running.add(pl.first, pl.end, 1)
}

// release returns what is kept for a program.
func (p *Pool) release(pl *place) {
	if !pl.reserved {
		return
	}
	pl.reserved = false
	p.promised.add(pl.first, pl.end, -pl.slots)
	pl.kind.promised.add(pl.first, pl.end, -pl.slots)
	pl.route.running.add(pl.first, pl.end, -1)
}

// fit returns the first slice, at most latest, from which on n slices have room for a program.
func (p *Pool) fit(pl *place, first, latest, n int64) (int64, bool) {
	limit := p.limit(pl.kind)
	kindLimit := p.kindLimit(pl.kind, boottime.Instant(first*int64(slice)))
	start := first
	for at := first; at < start+n; at++ {
		if start > latest {
			return 0, false
		}
		used, usedByKind := p.usedAt(first, at), pl.kind.promised.at(at)
		if (used > 0 && used+pl.slots > limit) || (usedByKind > 0 && usedByKind+pl.slots > kindLimit) {
			start = at + 1
		}
	}
	return start, start <= latest
}

// usedAt returns the slots that are in use in a slice: those promised, and in the near future the
// requests in flight beyond them.
func (p *Pool) usedAt(current, at int64) float64 {
	used := p.promised.at(at)
	if at < current+int64(backlogTime/slice) {
		used += max(p.inFlight-p.promised.at(current), 0)
	}
	return used
}

// limit returns the number of slots that may be in use after a program of a kind begins.
func (p *Pool) limit(k *kind) float64 {
	steps := 0
	for _, other := range p.kinds {
		if other.priority < k.priority {
			steps = max(steps, min(k.priority-other.priority, maxUrgentSteps))
		}
	}
	return (fillLevel - urgentMargin*float64(steps)) * p.slots
}

// kindLimit returns the number of slots that one kind may use: what more urgent kinds leave over,
// without the guaranteed part of less urgent ones, and at least its own guaranteed part.
func (p *Pool) kindLimit(k *kind, now boottime.Instant) float64 {
	capacity := fillLevel * p.slots
	total := 0.0
	for _, other := range p.kinds {
		total += other.currentWanted(now)
	}
	guaranteed := func(other *kind) float64 {
		wanted := other.currentWanted(now)
		return min(wanted, guaranteedPart*capacity*wanted/max(total, capacity))
	}
	left := capacity
	for _, other := range p.kinds {
		switch {
		case other.priority < k.priority:
			left -= other.currentWanted(now)
		case other.priority > k.priority:
			left -= guaranteed(other)
		}
	}
	return max(left, guaranteed(k))
}

// admitLate decides about a program that cannot be in time.
func (p *Pool) admitLate(now boottime.Instant, pl *place, n int64) Decision {
	current := sliceOf(now)
	limit := spareLevel * p.slots
	for at := current; at < current+horizonSlices; at++ {
		if used := p.usedAt(current, at) + p.late.at(at); used > 0 && used+pl.slots > limit {
			continue
		}
		if at == current {
			p.reserve(pl, current, n)
			pl.begin(now)
			return p.decision(Admitted, 0, current)
		}
		p.late.add(at, at+1, pl.slots)
		return p.decision(TooLate, time.Duration(at-current)*slice, current)
	}
	return p.decision(TooLate, horizonSlices*slice, current)
}

func (p *Pool) decision(reason Reason, retryAfter time.Duration, current int64) Decision {
	if reason != Admitted {
		retryAfter = max(retryAfter, minRetryAfter)
	}
	return Decision{Reason: reason, RetryAfter: retryAfter, Slots: p.slots, InFlight: p.inFlight, Promised: p.promised.at(current)}
}
