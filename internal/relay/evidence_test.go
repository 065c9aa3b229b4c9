package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
)

// roundInterval is the time between rounds of which the fewest span enough time.
const roundInterval = minLossTime / (minLossRounds - 1)

// flightTo returns a request in flight that must not be repeated.
func flightTo(addr string) forward.Flight { return forward.Flight{Addr: addr} }

// unansweredRound lets a check of a link fail and another host reach the replica then.
func unansweredRound(l *links, addr string, at time.Time) {
	c, _ := l.beginCheck(addr, at)
	l.endCheck(addr, c, unanswered, at.Add(checkTimeout))
	l.confirm(addr)
	l.reachedElsewhere(addr, at.Add(checkTimeout))
}

// TestOpenConnectionsOutlastFailedChecks guards against answers that are given up because new
// connections fail: a few of them, refused ones, beside bytes that arrive, or over another link.
func TestOpenConnectionsOutlastFailedChecks(t *testing.T) {
	start := time.Now()
	round := func(n int) time.Time { return start.Add(time.Duration(n) * roundInterval) }
	var never time.Time
	end := round(minLossRounds)
	check := func(l *links, result checkResult) {
		c, _ := l.beginCheck("a", end)
		l.endCheck("a", c, result, end)
	}
	for name, test := range map[string]struct {
		rounds            int
		then              func(l *links)
		lastRead, anyRead time.Time
		severed           bool
	}{
		"enough rounds":  {rounds: minLossRounds, severed: true},
		"too few rounds": {rounds: minLossRounds - 1},
		"too short a time": {then: func(l *links) {
			for n := range 2 * minLossRounds {
				unansweredRound(l, "a", start.Add(time.Duration(n)*minLossTime/(2*minLossRounds)))
			}
		}},
		"bytes before":                {rounds: minLossRounds, lastRead: start, anyRead: start, severed: true},
		"bytes meanwhile":             {rounds: minLossRounds, lastRead: start.Add(1), anyRead: start.Add(1)},
		"bytes of another replica":    {rounds: minLossRounds, anyRead: end, severed: true},
		"refused then":                {rounds: minLossRounds, then: func(l *links) { check(l, refused) }},
		"opened then":                 {rounds: minLossRounds, then: func(l *links) { check(l, opened) }},
		"inconclusive then":           {rounds: minLossRounds, then: func(l *links) { check(l, inconclusive) }, severed: true},
		"pause of this host":          {rounds: minLossRounds, then: (*links).discardEvidence},
		"same failure seen once more": {rounds: minLossRounds - 1, then: func(l *links) { l.reachedElsewhere("a", end) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLinks(event.Discard())
			l.use(record("a"), start)
			l.use(record("b"), start)
			l.heard("b", start)
			for n := range test.rounds {
				unansweredRound(l, "a", round(n))
			}
			if test.then != nil {
				test.then(l)
			}
			is.Equal(l.isSevered(flightTo("a"), test.lastRead, test.anyRead), test.severed)
			is.True(!l.isSevered(flightTo("b"), never, never))
		})
	}
}

// TestStrandedHostChecksEachLink guards against answers of a stranded host that are given up over
// links that were not checked, and against many rounds for each of them.
func TestStrandedHostChecksEachLink(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var never time.Time
	l := newLinks(event.Discard())
	for n, addr := range []string{"a", "b", "c", "d"} {
		l.use(record(addr), start)
		if addr != "d" {
			is.True(!l.isSevered(flightTo("a"), never, never))
			unansweredRound(l, addr, start.Add(time.Duration(n)*roundInterval))
		}
	}
	is.True(l.isStranded())
	is.True(l.isSevered(flightTo("a"), never, never))
	is.True(!l.isSevered(flightTo("d"), never, never))
	c, _ := l.beginCheck("d", start.Add(minLossRounds*roundInterval))
	l.endCheck("d", c, unanswered, start.Add((minLossRounds+1)*roundInterval))
	is.True(l.isSevered(flightTo("d"), never, never))
	is.True(!l.isSevered(flightTo("d"), never, start.Add(1))) // a replica was heard
}

// TestCheckResults guards against a path that counts as lost because the replica refuses
// connections or this host is late or out of descriptors.
func TestCheckResults(t *testing.T) {
	is := is.New(t)
	dialError := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	is.Equal(resultOf(nil, checkTimeout), opened)
	is.Equal(resultOf(dialError(syscall.ECONNREFUSED), 0), refused)
	is.Equal(resultOf(dialError(syscall.ECONNRESET), 0), refused)
	is.Equal(resultOf(&net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}, checkTimeout), unanswered)
	is.Equal(resultOf(dialError(syscall.EHOSTUNREACH), 0), unanswered)
	is.Equal(resultOf(context.DeadlineExceeded, checkTimeout+maxCheckDelay+1), inconclusive)
	is.Equal(resultOf(dialError(syscall.EMFILE), 0), inconclusive)
	is.Equal(resultOf(errors.New("closed"), 0), inconclusive)
}

// unreachableRound lets a check of a link fail while no other host reaches the replica either.
func unreachableRound(l *links, addr string, at time.Time) {
	c, _ := l.beginCheck(addr, at)
	l.endCheck(addr, c, unanswered, at.Add(checkTimeout))
	l.refute(addr)
}

// TestReplicaUnreachableForAllIsNoEvidence guards against answers that are given up because of rounds
// between which no host reached the replica: its new connections fail, not the link.
func TestReplicaUnreachableForAllIsNoEvidence(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	l := newLinks(event.Discard())
	l.use(record("a"), start)
	for n := range minLossRounds {
		at := start.Add(time.Duration(2*n) * roundInterval)
		unansweredRound(l, "a", at)
		if n < minLossRounds-1 {
			unreachableRound(l, "a", at.Add(roundInterval))
		}
	}
	is.True(!l.isSevered(flightTo("a"), time.Time{}, time.Time{}))
}

// TestInconclusiveCheckIsNoRound guards against a round that is counted for an earlier check, after
// which no host reached the replica, and one that failed because this host was late.
func TestInconclusiveCheckIsNoRound(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	l := newLinks(event.Discard())
	l.use(record("a"), start)
	unreachableRound(l, "a", start)
	late := start.Add(roundInterval)
	c, _ := l.beginCheck("a", late)
	l.endCheck("a", c, inconclusive, late.Add(2*checkTimeout))
	l.confirm("a")
	l.reachedElsewhere("a", late.Add(2*checkTimeout))
	is.Equal(l.byAddr["a"].loss.rounds, 0)
}

// TestRepeatableRequestsMoveSooner guards against requests that another host could serve and that wait
// as long as those which must not be repeated.
func TestRepeatableRequestsMoveSooner(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	l := newLinks(event.Discard())
	l.use(record("a"), start)
	for n := range minLossRounds {
		unansweredRound(l, "a", start.Add(time.Duration(n)*probeInterval))
	}
	is.True(l.isSevered(forward.Flight{Addr: "a", Repeatable: true}, time.Time{}, time.Time{}))
	is.True(!l.isSevered(flightTo("a"), time.Time{}, time.Time{}))
}
