package replica

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/route"
)

const (
	coldPerSecond = 25
	coldTime      = 3 * time.Second
)

// newColdSet returns a set with one replica in each of three failure domains, of a service whose
// replicas are cold after their start.
func newColdSet() *Set {
	s := newZonedSet()
	s.Configure(route.NewTable(1, nil, []*route.Service{{Name: "s", ColdPerSecond: coldPerSecond, ColdTime: coldTime}}, nil, route.Limits{}, false))
	return s
}

// renew puts the next record of a replica.
func (s *Set) renew(id string, cold time.Duration) {
	s.Put(Record{ID: id, Service: "s", Domain: id, Slots: 4, Born: 1, ColdRemaining: cold})
}

// limitOf returns the rate limit that an attempt at a replica finds.
func (s *Set) limitOf(id string) RateLimit {
	lease := s.Choose(Query{Service: "s", Only: id})
	defer lease.Done(NotSent, 1)
	limit, _ := lease.Limit()
	return limit
}

var coldLimit = RateLimit{Limited: true, PerSecond: coldShare * coldPerSecond}

// TestColdPeriodOfRecord guards against a cold replica without a rate limit, and against one that
// keeps it for longer than its record says.
func TestColdPeriodOfRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newColdSet()
		is.Equal(s.limitOf("z0"), RateLimit{})
		s.renew("z0", 2*time.Second)
		is.Equal(s.limitOf("z0"), coldLimit)
		time.Sleep(1999 * time.Millisecond)
		is.Equal(s.limitOf("z0"), coldLimit)
		time.Sleep(time.Millisecond)
		is.Equal(s.limitOf("z0"), RateLimit{})
		s.renew("z0", 2*time.Second)
		s.renew("z0", 0)
		is.Equal(s.limitOf("z0"), RateLimit{})
		s.Put(Record{ID: "z1", Service: "s", Domain: "z1", Born: 2, ColdRemaining: time.Second}) // started anew
		is.Equal(s.limitOf("z1"), coldLimit)
		s.Configure(route.NewTable(2, nil, []*route.Service{{Name: "s"}}, nil, route.Limits{}, false))
		is.Equal(s.limitOf("z1"), RateLimit{}) // the service has no rate for cold replicas
	})
}

// TestReplicaTurnsColdBetweenRecords guards against a replica that says in an answer that it has
// become cold, and gets its full load because an earlier record says otherwise, or at other hosts.
func TestReplicaTurnsColdBetweenRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, other := newColdSet(), newColdSet()
		s.OnCold(other.LearnCold)
		early := time.Now()
		time.Sleep(time.Millisecond)
		record := s.Choose(Query{Service: "s", Only: "z0"}).Record()
		s.Cold(record, time.Now(), coldTime)
		synctest.Wait()
		for _, host := range []*Set{s, other} {
			is.Equal(host.limitOf("z0"), coldLimit)
			host.renew("z0", 0) // written before it became cold
			is.Equal(host.limitOf("z0"), coldLimit)
		}
		s.Cold(record, early, 0) // answer to an earlier request
		is.Equal(s.limitOf("z0"), coldLimit)
		time.Sleep(maxRecordLag)
		s.renew("z0", 0)
		is.Equal(s.limitOf("z0"), RateLimit{})
		other.Cold(record, time.Now(), 0)
		is.Equal(other.limitOf("z0"), RateLimit{})
		other.LearnCold(record.Incarnation(), time.Hour) // a host that reports nonsense
		time.Sleep(coldTime)
		is.Equal(other.limitOf("z0"), RateLimit{})
	})
}

// TestDomainReturnsCold guards against full load for replicas that became cold during an evacuation
// and say so only with their next record.
func TestDomainReturnsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newColdSet()
		s.SetEvacuated(evacuated("z1"), nil)
		time.Sleep(10 * time.Second)
		s.renew("z1", 0)
		s.SetEvacuated(nil, nil)
		s.renew("z1", 0) // written before the evacuation ended
		is.Equal(s.limitOf("z1"), coldLimit)
		is.Equal(s.limitOf("z0"), RateLimit{})
		time.Sleep(maxRecordLag)
		s.renew("z1", 0)
		is.Equal(s.limitOf("z1"), RateLimit{})

		s.SetEvacuated(nil, evacuated("z1")) // evacuated and returned while the host was away
		is.Equal(s.limitOf("z1"), coldLimit)
		time.Sleep(coldTime) // no record arrives
		is.Equal(s.limitOf("z1"), RateLimit{})
		s.SetEvacuated(nil, evacuated("z1"))
		is.Equal(s.limitOf("z1"), RateLimit{})
	})
}

// TestReplicaTurnsColdAfterChoice guards against requests that were chosen for a warm replica, or
// given a time, and are sent to it after a pause of the host when it is cold.
func TestReplicaTurnsColdAfterChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newColdSet()
		lease := s.Choose(Query{Service: "s", Only: "z0"})
		is.NoErr(lease.CheckSend())
		s.renew("z0", coldTime)
		is.True(errors.Is(lease.CheckSend(), ErrCold))
		lease.Delay(100 * time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		is.NoErr(lease.CheckSend())
		is.True(lease.Reserved())
		time.Sleep(time.Second)
		is.True(errors.Is(lease.CheckSend(), ErrCold))
		time.Sleep(coldTime)
		is.NoErr(lease.CheckSend())
	})
}

// TestColdReplicaWithOwnLimit guards against a limit of the replica's own that the cold period lifts,
// or that answers or other hosts lift the limit of the cold period.
func TestColdReplicaWithOwnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newColdSet()
		s.renew("z0", coldTime)
		time.Sleep(time.Millisecond)
		lease := s.Choose(Query{Service: "s", Only: "z0"})
		lease.RateLimit(RateLimit{})
		is.Equal(s.limitOf("z0"), coldLimit)
		lease.LearnLimit(1000, 0)
		is.Equal(s.limitOf("z0"), coldLimit)
		lease.RateLimit(RateLimit{Limited: true, PerSecond: 10})
		is.Equal(s.limitOf("z0").PerSecond, 10.0)
		time.Sleep(coldTime)
		is.Equal(s.limitOf("z0").PerSecond, 10.0)
	})
}
