package storelog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
)

// TestLostAnswersAreNoOutage guards against homes that move away from a host with each
// answer that the store loses, although it serves the host.
func TestLostAnswersAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := storelog.NewMonitor()
		for n := range 100 {
			done := m.Start(0)
			time.Sleep(10 * time.Millisecond)
			if n%3 == 0 {
				go func() { // the answer is lost, and the call ends by its timeout
					time.Sleep(700 * time.Millisecond)
					done(false)
				}()
				continue
			}
			done(true)
			is.True(m.Healthy())
		}
		time.Sleep(time.Second) // until the last call has ended
	})
}

// TestOutageIsNoticed guards against a host that takes itself to reach a store which
// refuses its calls or has fallen silent.
func TestOutageIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := storelog.NewMonitor()
		m.Start(0)(true)
		silent := m.Start(0)
		time.Sleep(400 * time.Millisecond)
		is.True(!m.Healthy())
		silent(false)
		m.Start(0)(true)
		is.True(m.Healthy())
		time.Sleep(400 * time.Millisecond)
		m.Start(0)(false)
		is.True(!m.Healthy())
	})
}
