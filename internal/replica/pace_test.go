package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestNoisyPaceIsSmoothed guards against one report of the pace that makes a replica look slow for
// seconds, and against a slow machine that is not recognized.
func TestNoisyPaceIsSmoothed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var p pace
		is.Equal(p.current(time.Now()), 0.0)
		for range 40 {
			p.observe(1, time.Now())
			time.Sleep(time.Second)
		}
		p.observe(2.5, time.Now())
		is.True(p.current(time.Now()) > 1.5)
		time.Sleep(time.Second)
		is.True(p.current(time.Now()) < 1.3)
		for range 20 {
			p.observe(1.7, time.Now())
			time.Sleep(time.Second)
		}
		is.True(p.current(time.Now()) > 1.6)
	})
}

// TestSlowMachineIsAvoided guards against replicas on slow machines that get as many requests as
// the others, although they report their pace and this host sees each of them rarely.
func TestSlowMachineIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSet(4)
		got := make(map[string]int)
		for range 400 {
			lease := s.Choose(Query{Service: "s", Class: "c"})
			id := lease.Record().ID
			got[id]++
			lease.FirstByte()
			load := Load{Running: 1, Slots: 8, Pace: 0.7}
			if id == "0" || id == "1" {
				load.Pace = 1.7
			}
			lease.Load(load)
			lease.Done(Answered, 1)
			time.Sleep(time.Second)
		}
		is.True(got["0"]+got["1"] < 100)
		is.True(got["2"] > 100)
	})
}
