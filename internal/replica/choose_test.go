package replica

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

// newTestSet returns a set of count ready replicas of service s for a host in failure
// domain z; half of the replicas are in z.
func newTestSet(count int) *Set {
	s := NewSet("z", event.Discard())
	for n := range count {
		domain := "z"
		if n%2 == 1 {
			domain = "y"
		}
		s.Put(Record{ID: strconv.Itoa(n), Service: "s", Addr: "10.0.0.1:" + strconv.Itoa(n), Domain: domain, Slots: 8, Born: 1})
	}
	return s
}

// distribute sends count requests of a class one after the other and returns how many each
// replica got. Outcome returns the latency and the result of a request at a replica.
func distribute(s *Set, count int, outcome func(id string) (time.Duration, Result)) map[string]int {
	got := make(map[string]int)
	for range count {
		lease := s.Choose(Query{Service: "s", Class: "c"})
		id := lease.Record().ID
		got[id]++
		d, result := outcome(id)
		time.Sleep(d)
		if result == Answered {
			lease.FirstByte()
		}
		lease.Done(result, 1)
	}
	return got
}

// TestSlowReplicaIsAvoided guards against an even distribution when one replica becomes
// slow: its share of the requests would wait there.
func TestSlowReplicaIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got := distribute(newTestSet(4), 400, func(id string) (time.Duration, Result) {
			if id == "0" {
				return 100 * time.Millisecond, Answered
			}
			return 20 * time.Millisecond, Answered
		})
		is.True(got["0"] < 40) // an even share would be 100
	})
}

// TestFailingReplicaIsAvoided guards against requests to a replica that fails them although
// its record says that it is ready.
func TestFailingReplicaIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got := distribute(newTestSet(4), 400, func(id string) (time.Duration, Result) {
			if id == "2" {
				return time.Millisecond, Broken
			}
			return 20 * time.Millisecond, Answered
		})
		is.True(got["2"] < 40)
	})
}

// TestReplicaIsTriedAgain guards against a replica that gets no requests any more after
// a short fault.
func TestReplicaIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(2)
		failing := true
		took := func(id string) (time.Duration, Result) {
			if id == "0" && failing {
				return time.Millisecond, Unreachable
			}
			return 20 * time.Millisecond, Answered
		}
		distribute(s, 50, took)
		failing = false
		time.Sleep(maxEjection)
		got := distribute(s, 400, took)
		is.True(got["0"] > 50)
	})
}

// TestUnresponsiveReplicaIsAvoided guards against new requests to a replica that has stopped
// responding. Until the first request in flight fails, the overdue first byte is the
// only sign.
func TestUnresponsiveReplicaIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(4)
		unresponsive := s.Choose(Query{Service: "s", Class: "c"})
		time.Sleep(2 * minUnresponsive)
		got := distribute(s, 100, func(string) (time.Duration, Result) { return time.Millisecond, Answered })
		is.Equal(got[unresponsive.Record().ID], 0)
		unresponsive.Done(Broken, 1)
	})
}

// TestDrainingAndRemovedReplicas guards against new requests to a draining replica, and
// against removing replicas whose records expired while the store was unavailable.
func TestDrainingAndRemovedReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(2)
		s.Put(Record{ID: "0", Service: "s", Addr: "10.0.0.1:0", Domain: "z", Slots: 8, Born: 1, Draining: true})
		for range 20 {
			is.Equal(s.Choose(Query{Service: "s"}).Record().ID, "1")
		}
		s.Remove("1", 2*time.Second)
		is.Equal(s.Choose(Query{Service: "s"}).Record().ID, "1")
		time.Sleep(3 * time.Second)
		s.Sweep()
		is.Equal(s.Choose(Query{Service: "s"}), nil)
	})
}

// TestLoadSpreads guards against concurrent requests that all go to one replica while
// others are idle.
func TestLoadSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(4)
		got := make(map[string]int)
		for range 32 {
			got[s.Choose(Query{Service: "s", Class: "c"}).Record().ID]++
		}
		for _, n := range got {
			is.True(n <= 12) // 8 slots each
		}
		is.Equal(len(got), 4)
	})
}

// TestCachedPrefixIsPreferred guards against a program whose prefix is computed again at another
// replica although the replica that has it cached is idle.
func TestCachedPrefixIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(4)
		for range 20 {
			lease := s.Choose(Query{Service: "s", Class: "c", Prefer: "3", Gain: 0.5})
			is.Equal(lease.Record().ID, "3")
			lease.Done(Answered, 1)
		}
	})
}

// TestResettingReplicaIsEjectedAtOnce guards against repeated failures of programs that
// prefer a replica which accepts connections and resets them while it is down. After the
// ejection the replica must be probed with one request at a time.
func TestResettingReplicaIsEjectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(4)
		prefers := Query{Service: "s", Class: "c", Prefer: "3", Gain: 1}
		s.Choose(prefers).Done(Reset, 1)
		for range 20 {
			lease := s.Choose(prefers)
			is.True(lease.Record().ID != "3")
			lease.FirstByte()
			lease.Done(Answered, 1)
		}
		time.Sleep(minEjection + 3*failureRateHalfLife) // preferred again after this
		probe := s.Choose(prefers)
		is.Equal(probe.Record().ID, "3")
		other := s.Choose(prefers)
		is.True(other.Record().ID != "3")
		other.Done(Answered, 1)
		probe.FirstByte()
		probe.Done(Answered, 1)
		is.Equal(s.Choose(prefers).Record().ID, "3")
		is.Equal(s.Choose(prefers).Record().ID, "3")
	})
}
