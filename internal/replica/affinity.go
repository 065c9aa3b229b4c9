package replica

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultAffinityGain is what the replica that handled an object recently is expected to save, as
	// a fraction of the baseline latency, before it is learned.
	defaultAffinityGain = 0.3
	// minAffinityGain keeps enough requests at that replica that a change of the gain shows.
	minAffinityGain = 0.05
	// maxAffinityGain limits what a few long requests elsewhere can show.
	maxAffinityGain = 2
	// affinityWeight is the weight of a new sample in the averages.
	affinityWeight = 0.03
	// minAffinitySamples is the number of requests of both kinds from which on the gain is
	// learned.
	minAffinitySamples = 20
)

// affinity compares the latencies of the requests of a class that went to the replica of their key and
// of those that did not, as multiples of the baseline.
type affinity struct {
	preferred, elsewhere           float64
	preferredCount, elsewhereCount int
}

// observe adds a request.
func (a *affinity) observe(preferred bool, relative float64) {
	mean, count := &a.elsewhere, &a.elsewhereCount
	if preferred {
		mean, count = &a.preferred, &a.preferredCount
	}
	*count++
	*mean += max(affinityWeight, 1/float64(*count)) * (min(relative, maxSlownessSample) - *mean)
}

// gain returns the time that the replica of the key saves, as a fraction of the baseline latency.
func (a *affinity) gain() float64 {
	if min(a.preferredCount, a.elsewhereCount) < minAffinitySamples {
		return defaultAffinityGain
	}
	return min(max(a.elsewhere-a.preferred, minAffinityGain), maxAffinityGain)
}

func (s *Set) affinityLocked(class string) *affinity {
	a := s.affinities[class]
	if a == nil {
		a = &affinity{}
		s.affinities[class] = a
	}
	return a
}

// preferAffineLocked sets the preference of a query with an affinity key: the replica that rendezvous
// hashing gives among those that are usable. All hosts choose the same one without a message.
func (s *Set) preferAffineLocked(q *Query, now time.Time) {
	if q.Affinity == "" || q.Prefer != "" {
		return
	}
	var buffer [12]byte
	binary.LittleEndian.PutUint64(buffer[:], xxhash.Sum64String(q.Affinity))
	highest := uint64(0)
	for _, r := range s.services[q.Service] {
		if r.limit.Limited || r.record.ColdRemaining > 0 || r.ejected(now) || !s.feasible(r, *q, now) {
			continue
		}
		binary.LittleEndian.PutUint32(buffer[8:], r.hash)
		if h := xxhash.Sum64(buffer[:]); q.Prefer == "" || h > highest {
			q.Prefer, highest = r.record.ID, h
		}
	}
	q.Gain = s.affinityLocked(q.Class).gain()
}
