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
