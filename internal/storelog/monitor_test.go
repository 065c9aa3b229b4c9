package storelog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
)

// TestLostAnswersAreNoOutage guards against reporting an outage, which moves partitions away
// from the host, with each single answer that the store loses while it serves the host.
func TestLostAnswersAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := storelog.NewMonitor()
		for n := range 100 {
			done := m.Start(0)
			time.Sleep(10 * time.Millisecond)
			if n%3 == 0 {
				go func() { // the answer is lost, and the call times out
					time.Sleep(700 * time.Millisecond)
					done(false)
				}()
				continue
			}
			done(true)
			is.True(m.Healthy())
		}
		time.Sleep(time.Second) // until all calls have ended
	})
}

// TestOutageIsDetected guards against reporting a store as reachable that refuses calls or
// does not answer them.
func TestOutageIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := storelog.NewMonitor()
		m.Start(0)(true)
		unanswered := m.Start(0)
		time.Sleep(400 * time.Millisecond)
		is.True(!m.Healthy())
		unanswered(false)
		m.Start(0)(true)
		is.True(m.Healthy())
		time.Sleep(400 * time.Millisecond)
		m.Start(0)(false)
		is.True(!m.Healthy())
	})
}

// TestSlowStoreIsNoOutage guards against reporting an outage, which moves partitions away from the
// host, while the store answers every call, sixty times slower than usual.
func TestSlowStoreIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const slow, interval = 240 * time.Millisecond, 350 * time.Millisecond
		m := storelog.NewMonitor()
		call := func(d time.Duration) {
			done := m.Start(0)
			time.Sleep(d)
			done(true)
		}
		for range 10 {
			call(4 * time.Millisecond)
		}
		call(slow)
		for range 20 {
			time.Sleep(interval)
			go call(slow)
			for range 24 {
				time.Sleep(10 * time.Millisecond)
				is.True(m.Healthy())
			}
		}
		time.Sleep(time.Second)
		is.True(m.AnswerTime() >= slow)
		for range 30 {
			call(4 * time.Millisecond)
		}
		is.True(m.AnswerTime() < 10*time.Millisecond)
	})
}
