package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// turnQuery returns the query of a turn with a prompt of its own.
func turnQuery(prompt int) Query {
	return Query{Service: "s", Class: "c", Work: Work{PromptTokens: prompt, OwnTokens: prompt, ExpectedTokens: 68, MaxTokens: 200,
		TokensPerEvent: 17, CacheTokens: 50_000}}
}

// warm lets turns of 200 ms end one after the other, and returns how many each replica got.
func warm(s *Set, count int) map[string]int {
	got := make(map[string]int)
	for range count {
		lease := s.Choose(turnQuery(100))
		time.Sleep(50 * time.Millisecond)
		lease.FirstByte()
		time.Sleep(150 * time.Millisecond)
		got[lease.Record().ID]++
		lease.Done(Answered, 4)
	}
	return got
}

// TestLongPromptBesideShortOnes guards against turns that wait for a long prompt to be read, and
// against a long prompt that is read where it delays several turns.
func TestLongPromptBesideShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(2)
		warm(s, 40)
		long := s.Choose(Query{Service: "s", Class: "c", Only: "0", Work: turnQuery(8000).Work})
		long.preferred = false
		for range 3 {
			short := s.Choose(turnQuery(100))
			is.Equal(short.Record().ID, "1")
			short.FirstByte()
		}
		long.FirstByte() // one turn is left at replica 0, and three at replica 1
		for range 20 {
			lease := s.Choose(turnQuery(8000))
			is.Equal(lease.Record().ID, "0")
			lease.Done(NotSent, 1)
		}
	})
}

// TestFullMemory guards against a turn that is sent to a replica with free slots whose memory is taken
// up by others.
func TestFullMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(2)
		warm(s, 40)
		for range 2 {
			s.Choose(Query{Service: "s", Class: "c", Only: "0", Work: turnQuery(4800).Work}).FirstByte()
		}
		for range 5 {
			s.Choose(Query{Service: "s", Class: "c", Only: "1", Work: turnQuery(100).Work}).FirstByte()
		}
		for range 20 {
			lease := s.Choose(Query{Service: "s", Class: "c", Work: Work{PromptTokens: 4000, MaxTokens: 200, TokensPerEvent: 17, CacheTokens: 10_000}})
			is.Equal(lease.Record().ID, "1")
			lease.Done(NotSent, 1)
		}
	})
}

// TestLengthEstimateIsCorrected guards against a caller's estimate that is taken as it is although the
// route's answers are longer, and against one that exceeds the maximum.
func TestLengthEstimateIsCorrected(t *testing.T) {
	is := is.New(t)
	var l lengths
	w := Work{ExpectedTokens: 50, MaxTokens: 400, TokensPerEvent: 10}
	mean, high := l.expected(w)
	is.Equal([2]float64{mean, high}, [2]float64{50, 400})
	for n := range 200 {
		tokens := 50
		if n%4 == 3 {
			tokens = 250
		}
		l.observe(w, tokens)
	}
	mean, high = l.expected(w)
	is.True(mean > 90 && mean < 110)
	is.Equal(high, 250.0)
	mean, high = l.expected(Work{ExpectedTokens: 500, MaxTokens: 400, TokensPerEvent: 10})
	is.Equal([2]float64{mean, high}, [2]float64{400, 400})
}

// TestReadingTimeIsLearned guards against a reading time that contains waits which do not depend on the
// prompt.
func TestReadingTimeIsLearned(t *testing.T) {
	is := is.New(t)
	var r readingTime
	is.Equal(r.perToken(), defaultReading)
	for n := range 400 {
		tokens := 200 + 100*(n%20)
		r.observe(tokens, 40*time.Millisecond+time.Duration(n%7)*10*time.Millisecond+time.Duration(tokens)*8*time.Microsecond)
	}
	is.True(r.perToken() > 5*time.Microsecond && r.perToken() < 11*time.Microsecond)
}
