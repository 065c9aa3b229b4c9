package pacing

import (
	"time"

	"cowslipgw/internal/boottime"
)

// burstTime is the time whose requests an idle replica gets at once. It is short, since replicas
// count requests over a few seconds, and another owner may have sent as many just before.
const burstTime = 250 * time.Millisecond

// distanceAt returns the time between two requests at an even rate.
func distanceAt(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// schedule assigns send times to the requests for one replica, at equal distances.
type schedule struct {
	// next is the time of the next request at an even rate; it lies in the past while the
	// replica gets less than its rate.
	next   boottime.Instant
	usedAt boottime.Instant
}

// reserve assigns a time to one request if that is at most maxWait away. Wait is the time until
// then, or until a further request could be sent.
func (s *schedule) reserve(now boottime.Instant, perSecond float64, maxWait time.Duration) (wait time.Duration, ok bool) {
	distance := distanceAt(perSecond)
	s.next = max(s.next, now.Add(distance-max(burstTime, distance)))
	s.usedAt = now
	wait = max(s.next.Sub(now), 0)
	if wait > maxWait {
		return wait, false
	}
	s.next = s.next.Add(distance)
	return wait, true
}
