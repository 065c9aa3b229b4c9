package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
)

// chosen returns the IDs of the replicas that requests go to.
func chosen(s *Set) map[string]bool {
	ids := make(map[string]bool)
	for range 40 {
		if lease := s.Choose(Query{Service: "s", Class: "c"}); lease != nil {
			ids[lease.Record().ID] = true
			defer lease.Done(Answered, 1)
		}
	}
	return ids
}

// TestLeavingSurvivesRecords guards against requests to a leaving replica after its record was
// renewed, removed and read again, or changed its address, and against a replica that is not used
// again after a restart.
func TestLeavingSurvivesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(2)
		record := s.byID["0"].record
		s.Leaving(record)
		is.True(!chosen(s)["0"])
		_, usable := s.Usable("0", 1)
		is.True(!usable)
		s.Put(record)
		is.True(!chosen(s)["0"])
		s.Remove("0", 0)
		time.Sleep(30 * time.Second)
		s.Sweep()
		s.Put(record)
		is.True(!chosen(s)["0"])
		record.Addr = "10.0.0.1:77"
		s.Put(record)
		is.True(!chosen(s)["0"])
		record.Born = 2
		s.Put(record)
		is.True(chosen(s)["0"])
		_, usable = s.Usable("0", 1)
		is.True(!usable)
	})
}

// TestLeavingOfOtherHosts guards against reports that go round between hosts, and against replicas
// that end of which a report says nothing any more.
func TestLeavingOfOtherHosts(t *testing.T) {
	is := is.New(t)
	s := newTestSet(3)
	announced := make(chan []Incarnation, 10)
	s.OnLeaving(func(i []Incarnation) { announced <- i })
	s.LearnLeaving([]Incarnation{{ID: "0", Born: 1}, {ID: "unknown", Born: 1}})
	is.True(!chosen(s)["0"])
	is.Equal(len(s.ToldLeaving()), 0)
	s.Leaving(Record{ID: "0", Born: 1}) // known from another host
	s.Leaving(Record{ID: "1", Born: 1})
	s.Leaving(Record{ID: "1", Born: 1})
	is.Equal(<-announced, []Incarnation{{ID: "1", Born: 1}})
	is.Equal(len(announced), 0)
	is.Equal(s.ToldLeaving(), []Incarnation{{ID: "0", Born: 1}, {ID: "1", Born: 1}})
	s.Remove("1", 0)
	is.Equal(s.ToldLeaving(), []Incarnation{{ID: "0", Born: 1}})
}

// TestLeavingIsForgotten guards against a memory that grows with each replica that ever ended.
func TestLeavingIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newTestSet(1)
	s.LearnLeaving([]Incarnation{{ID: "0", Born: 1}, {ID: "gone", Born: 1}})
	s.sweepLeavingLocked(boottime.Now().Add(leavingLifetime))
	is.Equal(len(s.leaving), 1)
	is.True(s.isLeavingLocked(s.byID["0"].record))
}
