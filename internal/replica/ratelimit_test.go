package replica

import (
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
