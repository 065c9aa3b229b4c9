package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// arrivals records when requests reach an upstream.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// most returns the largest number of arrivals after from in any span of the given length.
func (a *arrivals) most(from time.Time, span time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for n, first := range a.times {
		if first.Before(from) {
			continue
		}
		count := 0
		for _, at := range a.times[n:] {
			if at.Sub(first) < span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// limited returns an upstream that reports a rate limit with every answer.
func limited(perSecond float64, got *arrivals) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		got.add()
		signed(w, r)
		w.Header().Set("Limit", fmt.Sprint(perSecond))
		time.Sleep(5 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	}
}

// unlimited returns an upstream without a rate limit that answers as fast.
func unlimited(w http.ResponseWriter, r *http.Request) {
	signed(w, r)
	time.Sleep(5 * time.Millisecond)
	w.WriteHeader(http.StatusOK)
}

// TestReplicaLimitHoldsOverAllHosts guards against hosts that together send a replica more than
// the rate which it accepts, although each of them sends less. Requests beyond that rate must
// go to other replicas.
func TestReplicaLimitHoldsOverAllHosts(t *testing.T) {
	const (
		hosts     = 5
		perSecond = 20.0
		span      = 2 * time.Second
		settling  = 500 * time.Millisecond
		callers   = 4
	)
	is := is.New(t)
	var got arrivals
	fleet := newTestFleet(t, hosts, limited(perSecond, &got), unlimited)
	start := time.Now()
	var wait sync.WaitGroup
	for n, host := range fleet {
		for caller := range callers {
			wait.Go(func() {
				for count := 0; time.Since(start) < settling+span+settling; count++ {
					answer := host.call(t, http.MethodGet, "/safe/x", "", "Id", fmt.Sprintf("%d-%d-%d", n, caller, count), "Key", "k")
					if answer.status != http.StatusOK {
						t.Errorf("request was answered %d although a replica without a limit is idle", answer.status)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	wait.Wait()
	// Replicas accept half as much again, and five requests, while hosts learn of a limit.
	allowed := 1.5*perSecond*span.Seconds() + 5
	is.True(float64(got.most(start.Add(settling), span)) <= allowed)
	is.True(float64(got.most(start.Add(settling), span)) >= perSecond*span.Seconds()/2) // the replica is still used
}
