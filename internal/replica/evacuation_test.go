package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

// newZonedSet returns a set with one replica of service s in each of three failure domains.
func newZonedSet() *Set {
	s := NewSet("z0", event.Discard())
	for _, domain := range []string{"z0", "z1", "z2"} {
		s.Put(Record{ID: domain, Service: "s", Domain: domain, Slots: 4, Born: 1})
	}
	return s
}

// evacuated returns the evacuations of the given domains.
func evacuated(domains ...string) map[string]int64 {
	offsets := make(map[string]int64)
	for n, domain := range domains {
		offsets[domain] = int64(n)
	}
	return offsets
}

// TestEvacuatedReplicaIsNeverChosen guards against a way to choose a replica that passes over the
// evacuation: a first choice, a resumed stream, a relayed request, one that waits for a rate.
func TestEvacuatedReplicaIsNeverChosen(t *testing.T) {
	is := is.New(t)
	s := newZonedSet()
	s.Choose(Query{Service: "s", Only: "z1"}).RateLimit(RateLimit{Limited: true, PerSecond: 1})
	lease := s.Choose(Query{Service: "s", Only: "z1"})
	lease.Pause(time.Minute)
	s.SetEvacuated(evacuated("z0", "z1"), nil)
	for range 20 {
		is.Equal(s.Choose(Query{Service: "s", Prefer: "z0", Gain: 10}).Record().ID, "z2")
	}
	for _, id := range []string{"z0", "z1"} {
		is.True(s.Choose(Query{Service: "s", Only: id}) == nil)
		_, usable := s.Usable(id, 1)
		is.True(!usable)
	}
	is.True(s.Choose(Query{Service: "s", Paused: true}) == nil)
	is.True(s.Choose(Query{Service: "s", Exclude: map[string]bool{"z2": true}}) == nil)
	is.Equal(s.Slots("s"), 4)
	is.True(errors.Is(s.CheckSend(lease.Record()), ErrEvacuated)) // chosen before the evacuation
	s.SetEvacuated(evacuated("z0"), nil)
	is.NoErr(s.CheckSend(lease.Record()))
	is.Equal(s.Slots("s"), 8)
}

// TestLastDomainIsEvacuated guards against a replica that is used although all failure domains are
// evacuated, and against a replica that registers anew in one.
func TestLastDomainIsEvacuated(t *testing.T) {
	is := is.New(t)
	s := newZonedSet()
	s.SetEvacuated(evacuated("z0", "z1", "z2"), nil)
	s.Put(Record{ID: "z1", Service: "s", Domain: "z1", Slots: 4, Born: 2})
	is.True(s.Choose(Query{Service: "s"}) == nil)
	is.Equal(s.Slots("s"), 0)
	is.Equal(len(s.Evacuations()), 3)
}
