package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/replica"
)

func record(addr string) replica.Record { return replica.Record{ID: "i" + addr, Addr: addr} }

// TestLossNeedsAnotherHost guards against a host that takes a replica which is down for a lost link
// of its own, or a lost link for a replica that is down.
func TestLossNeedsAnotherHost(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLinks(event.Discard())
	is.Equal(l.use(record("a"), now), usable)
	l.failed("a", now)
	is.Equal(l.use(record("a"), now), unusable)
	is.True(!l.isLost("a"))
	l.refute("a")
	is.Equal(l.use(record("a"), now), usable)
	l.failed("a", now)
	is.True(l.confirm("a"))
	is.True(!l.confirm("a")) // once
	is.True(l.isLost("a"))
	l.refute("a") // the replica ends while the link is lost
	is.True(l.isLost("a"))
	l.heard("a", now.Add(time.Millisecond))
	is.Equal(l.use(record("a"), now), usable)
}

// TestUnconfirmedLossEnds guards against a replica that is not used again after a failed
// connection, if no other host is asked.
func TestUnconfirmedLossEnds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLinks(event.Discard())
	l.use(record("a"), now)
	l.failed("a", now)
	is.Equal(l.use(record("a"), now.Add(unconfirmedLoss-1)), unusable)
	is.Equal(l.use(record("a"), now.Add(unconfirmedLoss)), usable)
}

// TestOneLostLinkPutsOthersInDoubt guards against requests on old connections of other links after
// one of them was lost, and against checks of links that are known to work.
func TestOneLostLinkPutsOthersInDoubt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLinks(event.Discard())
	for _, addr := range []string{"a", "b", "c"} {
		l.use(record(addr), now)
		l.heard(addr, now)
	}
	l.failed("a", now.Add(1))
	l.confirm("a")
	is.Equal(l.use(record("b"), now.Add(2)), doubtful)
	l.heard("b", now.Add(3))
	is.Equal(l.use(record("b"), now.Add(4)), usable)
	is.Equal(l.use(record("c"), now.Add(4)), doubtful)
	l.heard("a", now.Add(5))
	is.Equal(l.use(record("c"), now.Add(6)), usable) // no link is lost any more
}

// TestStrandedNeedsAllLinks guards against a host that leaves the directory although some of its
// links work, and one that stays there without any.
func TestStrandedNeedsAllLinks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLinks(event.Discard())
	lose := func(addr string, at time.Time) {
		l.use(record(addr), at)
		l.failed(addr, at)
		l.confirm(addr)
	}
	l.use(record("c"), now)
	l.heard("c", now)
	lose("a", now.Add(1))
	is.True(!l.isStranded()) // one replica may be cut off
	l.heard("c", now.Add(2))
	lose("b", now.Add(3))
	is.True(!l.isStranded()) // c was heard since
	lose("c", now.Add(4))
	is.True(l.isStranded())
	is.Equal(l.use(record("d"), now.Add(5)), unusable) // not used so far
	l.heard("b", now.Add(6))
	is.True(!l.isStranded())
	is.Equal(l.use(record("d"), now.Add(7)), doubtful)
	is.Equal(l.use(record("a"), now.Add(7)), unusable)
}

// TestQuietReplicas guards against checks of links while any replica is heard or none owes an
// answer, and against silence that is not noticed.
func TestQuietReplicas(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	at := func(ago time.Duration) time.Time { return now.Add(-ago) }
	flights := func(ages ...time.Duration) []forward.Flight {
		var list []forward.Flight
		for n, age := range ages {
			list = append(list, forward.Flight{Addr: string(rune('a' + n)), QuietSince: at(age)})
		}
		return list
	}
	long := at(time.Hour)
	is.Equal(len(quietTargets(nil, long, long, now)), 0)
	is.Equal(len(quietTargets(flights(quietLimit, time.Millisecond), long, long, now)), 2)
	is.Equal(len(quietTargets(flights(quietLimit-1, time.Millisecond), long, long, now)), 0)
	is.Equal(len(quietTargets(flights(time.Second, time.Second), at(quietLimit-1), long, now)), 0) // another replica is heard
	is.Equal(len(quietTargets(flights(time.Second, time.Second), long, at(quietLimit-1), now)), 0) // this host was paused
	is.Equal(len(quietTargets(flights(soleQuietLimit-1), long, long, now)), 0)
	is.Equal(len(quietTargets(flights(soleQuietLimit), long, long, now)), 1)
}
