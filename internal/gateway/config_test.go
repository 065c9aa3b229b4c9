package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/route"
)

// blockingSource is a ConfigSource without changes after the first version, so that every
// later read waits for its full time.
type blockingSource struct{ read bool }

func (s *blockingSource) Config(ctx context.Context, wait time.Duration) (*route.Table, error) {
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

// TestDenialIsConfirmedAtOnce guards against denials that are answered with 503 because the
// watcher starts to wait for the next change before the confirmation is read.
func TestDenialIsConfirmedAtOnce(t *testing.T) {
	is := is.New(t)
	c := NewConfigWatcher(&blockingSource{}, 5*time.Second, func() int { return 100 }, func(*route.Table) {}, event.Discard())
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
