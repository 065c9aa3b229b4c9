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
	is.True(sleep(c, h, 100*time.Millisecond, 20*time.Millisecond) != nil)
	if err := <-slow; err != nil {
		t.Errorf("slow call: %v", err)
	}
	_, alive := table.Counts()
	is.Equal(alive, 2)
}
