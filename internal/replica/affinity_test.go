package replica

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestAffinityKeyKeepsReplica guards against requests about one object that different hosts send to
// different replicas, against keys that all go to one replica, and against a key that keeps a replica
// that leaves.
func TestAffinityKeyKeepsReplica(t *testing.T) {
	is := is.New(t)
	a, b := newTestSet(4), newTestSet(4)
	used := make(map[string]int)
	for n := range 40 {
		q := Query{Service: "s", Class: "c", Affinity: strconv.Itoa(n)}
		one, other := a.Choose(q), b.Choose(q)
		id := one.Record().ID
		is.Equal(other.Record().ID, id)
		used[id]++
		one.Done(NotSent, 1)
		other.Done(NotSent, 1)
	}
	is.Equal(len(used), 4)
	first := a.Choose(Query{Service: "s", Class: "c", Affinity: "7"}).Record()
	a.Leaving(first)
	is.True(a.Choose(Query{Service: "s", Class: "c", Affinity: "7"}).Record().ID != first.ID)
}

// TestAffinityGainIsLearned guards against a gain that does not follow what the replica of a key saves,
// and against a key that keeps a full replica.
func TestAffinityGainIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(4)
		q := Query{Service: "s", Class: "c"}
		request := func(latency time.Duration) string {
			lease := s.Choose(q)
			lease.FirstByte()
			time.Sleep(latency)
			lease.Done(Answered, 1)
			return lease.Record().ID
		}
		for n := range 200 {
			q.Affinity = strconv.Itoa(n)
			id := request(10 * time.Millisecond)
			var full []*Lease
			for range 40 { // a wait of four times the mean latency, and the gain is one
				lease := s.Choose(Query{Service: "s", Class: "c", Only: id})
				lease.FirstByte()
				full = append(full, lease)
			}
			is.True(request(30*time.Millisecond) != id)
			for _, lease := range full {
				lease.Done(NotSent, 1)
			}
		}
		gain := s.affinities["c"].gain()
		is.True(gain > 0.8 && gain < 1.3) // 1.5 elsewhere, 0.5 at the replica of the key
	})
}
