package relay

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/guard"
	"cowslipgw/internal/replica"
)

const (
	// watchInterval is the time between two looks at the requests in flight.
	watchInterval = 50 * time.Millisecond
	// maxWatchGap is the time between two looks from which on this host counts as paused: it may
	// not have read what arrived.
	maxWatchGap = 250 * time.Millisecond
	// quietLimit is how long all replicas may be quiet, while several of them owe an answer,
	// before the links are checked. Streams have an event every few tens of milliseconds.
	quietLimit = 100 * time.Millisecond
	// soleQuietLimit replaces quietLimit while only one replica owes an answer.
	soleQuietLimit = 300 * time.Millisecond
	// quietCheckInterval is the least time between two checks because of quiet replicas.
	quietCheckInterval = 500 * time.Millisecond
	// maxQuietChecks is the number of links that are checked then.
	maxQuietChecks = 2
	// quietAnswerLimit is how long an answer over a severed link may be quiet before it is given up.
	quietAnswerLimit = 400 * time.Millisecond
	// findLossTimeout limits the check of a quiet link, by this host and by others.
	findLossTimeout = 600 * time.Millisecond
	// probeInterval is the time between two checks of lost links, and maxProbes the number of links
	// in each. A host without any working link checks one.
	probeInterval = 250 * time.Millisecond
	maxProbes     = 4
)

var answersGivenUp = metrics.NewCounter("cowslipgw_upstream_answers_given_up_total")

// watch is the state of the task that observes the requests in flight. Only that task uses it.
type watch struct {
	lastTick time.Time
	// judgeFrom is the end of this host's last pause.
	judgeFrom time.Time
	// nextQuietCheck and nextProbe are the earliest times of the next checks.
	nextQuietCheck, nextProbe time.Time
}

// Run finds lost links and those that work again until ctx is done.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.tick(ctx, time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// tick looks at the requests in flight once.
func (s *Sender) tick(ctx context.Context, now time.Time) {
	w := &s.watch
	if now.Sub(w.lastTick) > maxWatchGap {
		w.judgeFrom = now
		s.links.discardEvidence()
	}
	w.lastTick = now
	flights, lastRead := s.pool.Flights()
	if quiet := quietTargets(flights, lastRead, w.judgeFrom, now); len(quiet) > 0 && now.After(w.nextQuietCheck) {
		w.nextQuietCheck = now.Add(quietCheckInterval)
		s.links.suspect(now)
		for _, f := range quiet[:min(maxQuietChecks, len(quiet))] {
			go guard.Run(s.events, "link check", func() { s.findLoss(ctx, s.links.recordOf(f.Addr)) })
		}
	}
	s.giveUp(now, lastRead)
	s.checkOwing(ctx, flights, now)
	if now.After(w.nextProbe) {
		w.nextProbe = now.Add(probeInterval)
		s.probe(now)
	}
}

// giveUp gives up answers over severed links that are not arriving. What arrived during a pause of
// this host may not have been read yet.
func (s *Sender) giveUp(now, lastRead time.Time) {
	if now.Sub(s.watch.judgeFrom) < quietAnswerLimit {
		return
	}
	isLost := func(f forward.Flight, read time.Time) bool { return s.links.isSevered(f, read, lastRead) }
	for _, f := range s.pool.CloseQuiet(now.Add(-quietAnswerLimit), isLost) {
		answersGivenUp.Inc()
		s.events.Log(event.AnswerGivenUp, event.Fields{"request": f.Request, "replica": s.links.recordOf(f.Addr).ID, "addr": f.Addr,
			"quiet_ms": now.Sub(f.QuietSince).Milliseconds()})
	}
}

// quietTargets returns a request in flight at each replica that owes an answer, the oldest first,
// if all of them have been quiet for too long.
func quietTargets(flights []forward.Flight, lastRead, judgeFrom, now time.Time) []forward.Flight {
	slices.SortFunc(flights, func(a, b forward.Flight) int { return a.QuietSince.Compare(b.QuietSince) })
	var targets []forward.Flight
	for _, f := range flights {
		if !slices.ContainsFunc(targets, func(t forward.Flight) bool { return t.Addr == f.Addr }) {
			targets = append(targets, f)
		}
	}
	if len(targets) == 0 {
		return nil
	}
	limit := quietLimit
	if len(targets) == 1 {
		limit = soleQuietLimit
	}
	for _, t := range []time.Time{targets[0].QuietSince, lastRead, judgeFrom} {
		if now.Sub(t) < limit {
			return nil
		}
	}
	return targets
}

// findLoss checks a link and, if it does not work, whether another host reaches the replica. For
// open connections over a link that is known to be lost, a refusal says that the path works.
func (s *Sender) findLoss(ctx context.Context, r replica.Record) {
	ctx, cancel := context.WithTimeout(ctx, findLossTimeout)
	defer cancel()
	result := s.checkResult(ctx, r)
	if result == opened || (result == refused && s.LinkLost(r)) {
		return
	}
	s.reachableThrough(ctx, r)
}

// checkOwing checks lost links over which answers are not arriving.
func (s *Sender) checkOwing(ctx context.Context, flights []forward.Flight, now time.Time) {
	owing := make(map[string]bool)
	for _, f := range flights {
		if now.Sub(f.QuietSince) >= quietLimit {
			owing[f.Addr] = true
		}
	}
	for _, r := range s.links.dueRounds(owing, now) {
		go guard.Run(s.events, "link check", func() { s.findLoss(ctx, r) })
	}
}

// probe checks lost links again.
func (s *Sender) probe(now time.Time) {
	limit := maxProbes
	if s.links.isStranded() {
		limit = 1
	}
	for _, r := range s.links.dueProbes(limit, now) {
		go guard.Run(s.events, "link probe", func() { s.check(context.Background(), r) })
	}
	s.links.forgetUnused(now)
}
