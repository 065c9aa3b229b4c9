package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlowCallOutlastsShortDeadline guards against a call in progress that fails, and a host that is
// suspected, because a single other call with a short deadline got no answer beside it.
func TestSlowCallOutlastsShortDeadline(t *testing.T) {
	is := is.New(t)
	table, h := startSleeper(t)
	c := NewCaller(table)
	is.NoErr(sleep(c, h, 0, time.Second))
	slow := make(chan error, 1)
	go func() { slow <- sleep(c, h, 2*unresponsiveAfter, 5*time.Second) }()
	time.Sleep(unresponsiveAfter)
	is.True(sleep(c, h, 2*time.Second, 20*time.Millisecond) != nil)
	if err := <-slow; err != nil {
		t.Errorf("slow call: %v", err)
	}
	_, alive := table.Counts()
	is.Equal(alive, 2)
}

// TestSilentHostIsSuspectedBesideSlowCall guards against a host that never becomes suspect although
// it no longer answers, because a call with a long deadline is in flight.
func TestSilentHostIsSuspectedBesideSlowCall(t *testing.T) {
	is := is.New(t)
	table, h := startSleeper(t)
	c := NewCaller(table)
	is.NoErr(sleep(c, h, 0, time.Second))
	slow := make(chan error, 1)
	go func() { slow <- sleep(c, h, 10*time.Second, 5*time.Second) }()
	start := time.Now()
	for alive := 2; alive == 2; _, alive = table.Counts() {
		is.True(sleep(c, h, 2*time.Second, 50*time.Millisecond) != nil)
		is.True(time.Since(start) < 2*unresponsiveAfter)
	}
	is.True(<-slow != nil) // its connection is closed
}
