package replica

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// rateLimit returns the rate limit that a set knows of a replica.
func (s *Set) rateLimit(id string) RateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id].limit.RateLimit
}

// TestOvertakenAnswerDoesNotLiftLimit guards against a limit that is forgotten because an
// answer without one arrives late: its request was sent before the limit was reported.
func TestOvertakenAnswerDoesNotLiftLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(1)
		limit := RateLimit{Limited: true, PerSecond: 10}
		early := s.Choose(Query{Service: "s"})
		time.Sleep(time.Millisecond)
		s.Choose(Query{Service: "s"}).RateLimit(limit)
		time.Sleep(time.Millisecond)
		early.RateLimit(RateLimit{})
		is.Equal(s.rateLimit("0"), limit)
		s.Choose(Query{Service: "s"}).RateLimit(RateLimit{})
		is.Equal(s.rateLimit("0"), RateLimit{})
	})
}

// TestRestartedReplicaHasNoLimit guards against a limit of a replica's earlier incarnation.
func TestRestartedReplicaHasNoLimit(t *testing.T) {
	is := is.New(t)
	s := newTestSet(1)
	lease := s.Choose(Query{Service: "s"})
	lease.RateLimit(RateLimit{Limited: true, PerSecond: 10})
	record := lease.Record()
	record.Born++
	s.Put(record)
	is.Equal(s.rateLimit("0"), RateLimit{})
}

// TestLimitIsAnnouncedOnce guards against a limit that stays with the host that learned of it,
// and against messages with each answer or each message of another host.
func TestLimitIsAnnouncedOnce(t *testing.T) {
	is := is.New(t)
	s, other := newTestSet(2), newTestSet(2)
	announced := make(chan float64, 10)
	s.OnLimit(func(r Record, perSecond float64) {
		other.LearnLimit(r.ID, r.Born, perSecond)
		announced <- perSecond
	})
	other.OnLimit(func(Record, float64) { t.Error("a limit that another host announced is announced again") })
	limit := RateLimit{Limited: true, PerSecond: 10}
	lease := s.Choose(Query{Service: "s", Only: "0"})
	lease.RateLimit(limit)
	is.Equal(<-announced, 10.0)
	lease.RateLimit(RateLimit{Limited: true, PerSecond: 5})
	other.Choose(Query{Service: "s", Only: "0"}).RateLimit(limit)
	is.Equal(other.rateLimit("0"), limit)
	is.Equal(len(announced), 0)
}

// TestInvalidLimitOfOtherHostIsIgnored guards against a message that stops a replica: one with
// a rate that is none, or about another incarnation.
func TestInvalidLimitOfOtherHostIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newTestSet(1)
	for _, perSecond := range []float64{math.NaN(), math.Inf(1), -1} {
		s.LearnLimit("0", 1, perSecond)
	}
	s.LearnLimit("0", 2, 10)
	s.LearnLimit("unknown", 1, 10)
	is.Equal(s.rateLimit("0"), RateLimit{})
}

// accept simulates replicas with a rate limit that accept at most one request in every given
// time.
type accept struct {
	every time.Duration
	next  map[string]time.Time
}

// send chooses replicas until one accepts a request, and returns its ID.
func (a *accept) send(s *Set, q Query) string {
	for {
		lease := s.Choose(q)
		id := lease.Record().ID
		if limit, _ := lease.Limit(); limit.Limited {
			if wait := time.Until(a.next[id]); wait > 0 {
				lease.Pause(wait)
				continue
			}
			a.next[id] = time.Now().Add(a.every)
			lease.Delay(0)
		}
		lease.FirstByte()
		go func() {
			time.Sleep(time.Duration(q.Size) * time.Millisecond)
			lease.Done(Answered, q.Size)
		}()
		return id
	}
}

// TestLimitedReplicasGetLongRequests guards against short requests that use up the few which
// replicas with a rate limit accept, while the others are overloaded by the long ones. Two of
// four replicas accept twenty requests a second each, of 330.
func TestLimitedReplicasGetLongRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(4)
		for _, id := range []string{"0", "1"} {
			s.LearnLimit(id, 1, 10)
		}
		a := &accept{every: 50 * time.Millisecond, next: make(map[string]time.Time)}
		sizes := []int{10, 20, 200, 40, 30, 100, 20, 50, 10, 120} // a mean of 60
		count, total := 0, 0
		const (
			rounds   = 800
			warmup   = 200
			interval = 3 * time.Millisecond
		)
		for n := range rounds * len(sizes) {
			size := sizes[n%len(sizes)]
			id := a.send(s, Query{Service: "s", Class: "c", Size: size})
			if limited := id == "0" || id == "1"; limited && n >= warmup*len(sizes) {
				count++
				total += size
			}
			time.Sleep(interval)
		}
		seconds := (rounds - warmup) * float64(len(sizes)) * interval.Seconds()
		is.True(float64(count) >= 0.8*40*seconds)    // what they accept is used
		is.True(float64(total)/float64(count) >= 90) // and by long requests
		time.Sleep(time.Second)
	})
}

// TestShortRequestsAreServedIfAllReplicasAreLimited guards against short requests that find no
// replica because what limited replicas accept is kept for longer ones.
func TestShortRequestsAreServedIfAllReplicasAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(2)
		for _, id := range []string{"0", "1"} {
			s.LearnLimit(id, 1, 10)
		}
		for range 50 {
			for lease := s.Choose(Query{Service: "s", Size: 1000}); lease != nil; lease = s.Choose(Query{Service: "s", Size: 1000}) {
				lease.Pause(time.Millisecond)
			}
			time.Sleep(2 * time.Millisecond)
		}
		lease := s.Choose(Query{Service: "s", Size: 1})
		is.True(lease != nil)
		lease.Done(Answered, 1)
	})
}

// TestSessionReturnsFromLimitedReplica guards against sessions that lose their cached history:
// after a long turn at a replica with a rate limit, the next turn must prefer the replica
// of the turns before.
func TestSessionReturnsFromLimitedReplica(t *testing.T) {
	is := is.New(t)
	s := newTestSet(3)
	s.LearnLimit("0", 1, 10)
	is.Equal(s.Preferred("1", "0"), "1")
	is.Equal(s.Preferred("1", "2"), "2")
	is.Equal(s.Preferred("", "0"), "0")
	is.Equal(s.Preferred("gone", "0"), "0")
	is.Equal(s.Preferred("0", "1"), "1")
}

// TestLiftedLimitEndsPause guards against a replica that gets no requests although it has lifted
// its limit, because a request that was rejected before paused it afterwards.
func TestLiftedLimitEndsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(1)
		s.LearnLimit("0", 1, 0.1)
		time.Sleep(time.Millisecond)
		rejected, answered := s.Choose(Query{Service: "s"}), s.Choose(Query{Service: "s"})
		answered.RateLimit(RateLimit{})
		answered.Done(Answered, 1)
		rejected.Pause(10 * time.Second)
		lease := s.Choose(Query{Service: "s"})
		is.True(lease != nil)
		lease.Done(Answered, 1)
	})
}
