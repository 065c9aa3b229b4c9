package replica

import "time"

const (
	// fleetReportAge is the mean age of the reports in the totals of the fleet: hosts report
	// every 200 ms.
	fleetReportAge = 100 * time.Millisecond
	// fleetLoadLifetime is how long the totals count. Their owner sends them every 200 ms.
	fleetLoadLifetime = time.Second
	// othersLifetime is the age from which on the load of one replica says nothing of the present
	// load. Turns take 0.1 to 0.4 s, so most of what was in flight before has ended.
	othersLifetime = 300 * time.Millisecond
)

// fleetLoad is what the owner of a service last told of the load of its replicas.
type fleetLoad struct {
	// mean is the mean number of requests of other hosts at a usable replica, at the time at.
	mean float64
	at   time.Time
}

// LearnFleetInFlight records how many requests all hosts, this one included, have in flight at the
// replicas of a service, given by the hashes of its name and of the incarnations. A replica that is
// not mentioned has none.
func (s *Set) LearnFleetInFlight(service uint32, inFlight map[uint32]uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reportedAt := now.Add(-fleetReportAge)
	for name, replicas := range s.services {
		if NameHash(name) != service {
			continue
		}
		sum, usable := 0.0, 0
		for _, r := range replicas {
			others := float64(max(int(inFlight[r.hash])-r.reportedInflight, 0))
			if r.othersAt.Before(reportedAt) {
				r.others, r.othersAt = others, reportedAt
			}
			if s.feasible(r, Query{}, now) && !r.ejected(now) {
				sum += others
				usable++
			}
		}
		s.fleet[name] = fleetLoad{mean: sum / float64(max(usable, 1)), at: now}
	}
}

// othersMeanLocked returns the mean number of requests of other hosts at a replica of a service, or
// 0 if it is not known.
func (s *Set) othersMeanLocked(service string, now time.Time) float64 {
	if f := s.fleet[service]; now.Sub(f.at) < fleetLoadLifetime {
		return f.mean
	}
	return 0
}

// estimatedLoad returns the expected number of requests at the replica: this host's own attempts,
// and those of other hosts. The older what is known of those is, the closer they are expected to be
// to the mean of all replicas.
func (r *Replica) estimatedLoad(othersMean float64, now time.Time) float64 {
	others := othersMean
	if age := now.Sub(r.othersAt); age < othersLifetime {
		weight := 1 - float64(age)/float64(othersLifetime)
		others += weight * weight * (r.others - othersMean)
	}
	return float64(r.inflight) + others
}
