package admission

import (
	"iter"
	"maps"
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// fillLevel is the part of the slots that the admitted programs may use. What is above it absorbs
	// the variation of their demand.
	fillLevel = 0.97
	// spareLevel is the part of the slots that may be in use after a program begins that cannot be in
	// time, and that such programs and those which want to begin in time may want together.
	spareLevel = 0.85
	// relaxedLevel is the part of the slots in use below which no kind is held to its share.
	relaxedLevel = 0.93
	// urgentMargin is the part of the slots that is left to more urgent programs for each step of
	// priority, up to maxUrgentSteps.
	urgentMargin   = 0.015
	maxUrgentSteps = 2
	// guaranteedPart is the part of its proportional share that each kind gets, however many urgent
	// programs there are.
	guaranteedPart = 0.85
	// firstSlots is the number of slots that a program uses right after it began.
	firstSlots = 0.9
	// maxReportAge is the longest time by which the number of requests in flight is corrected for the
	// programs that have begun and ended since it was observed.
	maxReportAge = 400 * time.Millisecond
	// unreportedLevel is the part of the expected demand that counts even if the hosts report less:
	// hosts of earlier builds, and those whose reports are lost, have requests that do not count.
	unreportedLevel = 0.85
	// incompleteLevel is the same while most reports are missing, so that the error of the expected
	// demand does not overload the service.
	incompleteLevel = 1.2
	// maxWait is the longest time until a place that is promised. A longer queue would only consist of
	// programs with much time, and take theirs away.
	maxWait = 250 * time.Millisecond
	// drainFactor is the multiple of the time in which an excess of the requests in flight drains for
	// which no place is promised, since those who hold a place begin meanwhile.
	drainFactor = 2
	// returnGrace is how long after its time a promised place is kept.
	returnGrace = 300 * time.Millisecond
	// rememberTime is how long the pool remembers a program that it refused.
	rememberTime = 5 * time.Second
	// maxRememberTime limits how long it remembers one that it admitted, whatever time a caller gives.
	maxRememberTime = 2 * time.Minute
	// minRetryAfter keeps a refused program from returning before the next report.
	minRetryAfter = 50 * time.Millisecond
	// slice is the interval of maintenance, and the resolution of the recent admissions.
	slice = 50 * time.Millisecond
	// maxRetryAfter limits the time over which the returns of programs without a place are spread.
	maxRetryAfter = 2 * time.Second
	// minWanted is the number of wanted slots below which a kind without programs is forgotten.
	minWanted = 0.01
)

// Pool decides which programs of one service begin. It is not safe for concurrent use, and the
// times that it is given must not decrease.
type Pool struct {
	slots float64
	kinds map[kindKey]*kind
	// late holds the programs that begin into spare capacity, by the hash of their route.
	late     map[uint32]*kind
	routes   map[uint32]*routeDemand
	programs map[uint64]*place
	// inFlight is the number of requests that all hosts report to have in flight, as of observedAt.
	inFlight   float64
	observedAt boottime.Instant
	// incomplete is set if so little is reported that reports must be missing.
	incomplete bool
	// recent counts the programs that were admitted lately, and now is the time of the last call.
	recent recentTimes
	now    boottime.Instant
	// nextLate spreads the returns of programs that cannot be in time.
	nextLate boottime.Instant
	sweptAt  boottime.Instant
}

// NewPool returns a pool without slots.
func NewPool() *Pool {
	return &Pool{kinds: make(map[kindKey]*kind), late: make(map[uint32]*kind), routes: make(map[uint32]*routeDemand), programs: make(map[uint64]*place)}
}

// SetSlots sets the number of requests that the service's replicas run at the same time.
func (p *Pool) SetSlots(slots float64) { p.slots = slots }

// Observe updates the pool with the number of requests that all hosts had in flight at a time, by the
// hash of their route. The time may lie before that of earlier calls.
func (p *Pool) Observe(at boottime.Instant, inFlight map[uint32]int) {
	p.advance(max(at, p.now))
	total := 0
	for _, n := range inFlight {
		total += n
	}
	p.inFlight = float64(total)
	elapsed := min(max(at.Sub(p.observedAt), 0), time.Second).Seconds()
	p.observedAt = at
	if p.incomplete = p.inFlight < unreportedLevel/2*p.expected(); p.incomplete {
		return
	}
	for route, d := range p.routes {
		d.work += float64(inFlight[route]) * elapsed
	}
}

// Admit decides whether a program may begin now.
func (p *Pool) Admit(now boottime.Instant, r Request) Decision {
	p.advance(now)
	if p.slots == 0 {
		return p.decision(Admitted, 0) // without a replica, the choice of one refuses the turn
	}
	pl := p.place(now, r)
	switch {
	case pl.begun:
		return p.decision(Admitted, 0)
	case pl.promisedAt != 0 && now >= pl.promisedAt.Add(-slice):
		return p.begin(now, pl, pl.kind)
	case pl.promisedAt != 0:
		return p.decision(NoCapacity, pl.promisedAt.Sub(now))
	case pl.refused || now > pl.latest:
		return p.admitSpare(now, pl)
	}
	k := pl.kind
	share, guaranteed, overloaded := p.share(k)
	free, freeOfShare := p.limit(k, guaranteed)-p.used(), share-p.usedBy(k)
	fits := min(free, freeOfShare) >= firstSlots && (!overloaded || k.nextPlace <= now)
	if fits || p.used() == 0 {
		return p.begin(now, pl, k)
	}
	// The places of this kind become free at the rate at which its programs end.
	at := max(k.nextPlace, now)
	if excess := max(-free/max(p.slots, 1), -freeOfShare/max(share, 1)); excess > 0 {
		at = max(at, now.Add(time.Duration(drainFactor*excess*float64(k.duration()))))
	}
	at = at.Add(time.Duration(pl.work / max(share, 1) * float64(time.Second)))
	if at > min(pl.latest, now.Add(maxWait)) {
		pl.refused = true
		return p.refuseUntilSpare(now, pl, Overloaded)
	}
	k.nextPlace, pl.promisedAt = at, at
	return p.decision(NoCapacity, at.Sub(now))
}

// place returns what the pool knows of a program that asks to begin.
func (p *Pool) place(now boottime.Instant, r Request) *place {
	pl := p.programs[r.Program]
	if pl == nil {
		k := p.kind(now, kindKey{r.Route, r.Priority})
		left := max(r.TimeLeft, 0)
		duration := time.Duration(runningFraction * float64(left))
		pl = &place{kind: k, work: k.demand.workOf(left), time: left, duration: duration, latest: now.Add(r.TimeLeft - duration)}
		if r.TimeLeft > 0 {
			k.want(pl)
		} else {
			pl.refused, pl.work, pl.duration = true, k.demand.meanWork, k.demand.meanDuration
		}
		p.programs[r.Program] = pl
	}
	pl.forgetAt = max(pl.forgetAt, now.Add(rememberTime))
	return pl
}

// kind returns the group of programs with a key.
func (p *Pool) kind(now boottime.Instant, key kindKey) *kind {
	k := p.kinds[key]
	if k != nil {
		return k
	}
	d := p.routes[Hash(key.route)]
	if d == nil {
		d = &routeDemand{updatedAt: now}
		p.routes[Hash(key.route)] = d
	}
	k = &kind{kindKey: key, demand: d, updatedAt: now}
	p.kinds[key] = k
	return k
}

// begin admits a program as one of a kind.
func (p *Pool) begin(now boottime.Instant, pl *place, k *kind) Decision {
	pl.begun, pl.promisedAt, pl.forgetAt = true, 0, now.Add(min(pl.time+rememberTime, maxRememberTime))
	k.begin(pl)
	if !p.incomplete {
		k.demand.times += pl.time.Seconds()
	}
	p.recent.add(now)
	return p.decision(Admitted, 0)
}

// admitSpare decides about a program that can begin only if the others leave capacity over.
func (p *Pool) admitSpare(now boottime.Instant, pl *place) Decision {
	key := Hash(pl.kind.route)
	late := p.late[key]
	if late == nil {
		late = &kind{kindKey: pl.kind.kindKey, demand: pl.kind.demand, updatedAt: now}
		p.late[key] = late
	}
	wanted := firstSlots
	for _, k := range p.kinds {
		wanted += k.wanted
	}
	for _, k := range p.late {
		wanted += k.expected
	}
	if max(wanted, p.used()+firstSlots) <= spareLevel*p.slots || p.used() == 0 {
		return p.begin(now, pl, late)
	}
	reason := TooLate
	if now <= pl.latest {
		reason = Overloaded
	}
	return p.refuseUntilSpare(now, pl, reason)
}

// refuseUntilSpare refuses a program for which there is no place in time. Its return is spread over
// the time in which capacity may become spare.
func (p *Pool) refuseUntilSpare(now boottime.Instant, pl *place, reason Reason) Decision {
	drained := time.Duration(max(p.used()-spareLevel*p.slots, 0) / max(p.slots, 1) * float64(pl.kind.duration()))
	earliest := now.Add(min(max(drained, maxWait), maxRetryAfter))
	if p.nextLate < earliest || p.nextLate > now.Add(maxRetryAfter) {
		p.nextLate = earliest
	}
	retryAfter := p.nextLate.Sub(now)
	p.nextLate = p.nextLate.Add(time.Duration(pl.work / max(p.slots, 1) * float64(time.Second)))
	return p.decision(reason, retryAfter)
}

// expected returns the number of slots that the admitted programs are expected to use.
func (p *Pool) expected() float64 {
	total := 0.0
	for _, k := range p.kinds {
		total += k.expected
	}
	for _, k := range p.late {
		total += k.expected
	}
	return total
}

// used returns the number of slots in use: the requests in flight, with the programs that have begun
// and ended since they were counted.
func (p *Pool) used() float64 {
	age := min(p.now.Sub(p.observedAt), maxReportAge)
	expected, ended := 0.0, 0.0
	for _, kinds := range []iter.Seq[*kind]{maps.Values(p.kinds), maps.Values(p.late)} {
		for k := range kinds {
			expected += k.expected
			ended += k.expected * min(age.Seconds()/k.duration().Seconds(), 1)
		}
	}
	level := unreportedLevel
	if p.incomplete {
		level = incompleteLevel
	}
	return max(p.inFlight+firstSlots*float64(p.recent.since(p.now.Add(-age)))-ended, level*expected)
}

// usedBy returns the part of the slots in use that belongs to a kind.
func (p *Pool) usedBy(k *kind) float64 {
	expected := p.expected()
	if expected == 0 {
		return 0
	}
	return p.used() * k.expected / expected
}

// limit returns the number of slots that may be in use after a program of a kind begins. What more
// urgent kinds have to themselves is no part of it, unless the kind has less than its guaranteed
// share.
func (p *Pool) limit(k *kind, guaranteed float64) float64 {
	if p.usedBy(k)+firstSlots <= guaranteed {
		return (fillLevel + urgentMargin) * p.slots
	}
	steps := 0
	for _, other := range p.kinds {
		steps = max(steps, min(k.priority-other.priority, maxUrgentSteps))
	}
	return (fillLevel - urgentMargin*float64(steps)) * p.slots
}

// share returns the number of slots that one kind may use, the part of them that no other kind may
// take, and whether all kinds want more than there are. Under overload each kind gets its guaranteed
// part, and then the more urgent ones what they want.
func (p *Pool) share(k *kind) (slots, guaranteedSlots float64, overloaded bool) {
	capacity := fillLevel * p.slots
	total := 0.0
	for _, other := range p.kinds {
		total += other.wanted
	}
	if total <= capacity || p.used()+firstSlots <= relaxedLevel*p.slots {
		return capacity, 0, false
	}
	guaranteed := guaranteedPart * capacity / total
	left := (1 - guaranteedPart) * capacity
	equal := 0.0
	for _, other := range p.kinds {
		switch {
		case other.priority < k.priority:
			left -= (1 - guaranteed) * other.wanted
		case other.priority == k.priority:
			equal += other.wanted
		}
	}
	if equal == 0 {
		return guaranteed * k.wanted, guaranteed * k.wanted, true
	}
	return k.wanted * (guaranteed + min(max(left, 0)/equal, 1-guaranteed)), guaranteed * k.wanted, true
}

// advance updates all averages and drops what has passed.
func (p *Pool) advance(now boottime.Instant) {
	p.now = now
	p.recent.advance(now)
	for key, k := range p.kinds {
		k.advance(now)
		if k.wanted < minWanted && k.expected < minWanted {
			delete(p.kinds, key)
		}
	}
	for _, k := range p.late {
		k.advance(now)
	}
	for _, d := range p.routes {
		d.advance(now)
	}
	if now.Sub(p.sweptAt) < slice {
		return
	}
	p.sweptAt = now
	for program, pl := range p.programs {
		if pl.promisedAt != 0 && now > pl.promisedAt.Add(returnGrace) {
			pl.promisedAt = 0
		}
		if now >= pl.forgetAt {
			delete(p.programs, program)
		}
	}
}

func (p *Pool) decision(reason Reason, retryAfter time.Duration) Decision {
	if reason != Admitted {
		retryAfter = max(retryAfter, minRetryAfter)
	}
	return Decision{Reason: reason, RetryAfter: retryAfter, Slots: p.slots, InFlight: p.inFlight, Promised: p.expected()}
}
