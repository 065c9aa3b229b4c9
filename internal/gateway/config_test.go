package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/route"
)

// patientSource is a ConfigSource that has no change after the first version, and so
// waits as long as it is asked to.
type patientSource struct{ read bool }

func (s *patientSource) Config(ctx context.Context, wait time.Duration) (*route.Table, error) {
	if !s.read {
		s.read = true
		return &route.Table{Version: 1}, nil
	}
	select {
	case <-time.After(wait):
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestDenialIsConfirmedAtOnce guards against denials that are answered with 503 because
// the follower of the configuration begins to wait for the next change before the
// confirmation is read.
func TestDenialIsConfirmedAtOnce(t *testing.T) {
	is := is.New(t)
	c := NewConfig(&patientSource{}, 5*time.Second, func() int { return 100 }, func(*route.Table) {}, event.Discard())
	go c.Run(t.Context())
	for c.Table() == nil {
		time.Sleep(time.Millisecond)
	}
	for range 5 {
		time.Sleep(confirmAge + 50*time.Millisecond)
		start := time.Now()
		is.True(c.Confirm(t.Context()))
		is.True(time.Since(start) < confirmWait/2)
	}
}
