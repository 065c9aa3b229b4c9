package account_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// rejoiningGranter is the owner of a bucket that refuses all incarnations of a host but the last one.
// Its first answer waits for release.
type rejoiningGranter struct {
	calls   chan account.GrantRequest
	release chan struct{}
}

func (g *rejoiningGranter) Grant(_ context.Context, req account.GrantRequest) (account.GrantResult, error) {
	select {
	case g.calls <- req:
		<-g.release
	default:
	}
	if int64(req.Origin.Incarnation) != 2 {
		return account.GrantResult{Problem: &structs.Problem{Code: "host-not-in-view"}}, nil
	}
	return account.GrantResult{Granted: req.Want, Level: 10}, nil
}

// TestRequestAfterRejoin guards against a request that is refused because the host asked for tokens
// as an earlier incarnation, was evicted while it was paused, and has joined again since.
func TestRequestAfterRejoin(t *testing.T) {
	is := is.New(t)
	var incarnation atomic.Int64
	incarnation.Store(1)
	granter := &rejoiningGranter{calls: make(chan account.GrantRequest, 1), release: make(chan struct{})}
	l := account.NewLimiter(granter, func() structs.Origin {
		return structs.Origin{Host: "h", Incarnation: structs.Incarnation(incarnation.Load())}
	})
	taken := make(chan error, 2)
	take := func() {
		decision, err := l.Take(context.Background(), "a", account.Limits{Rate: 10, Burst: 10})
		if err == nil && !decision.Allowed {
			err = context.Canceled
		}
		taken <- err
	}
	go take()
	is.Equal(int64((<-granter.calls).Origin.Incarnation), int64(1))
	incarnation.Store(2)
	go take()
	time.Sleep(20 * time.Millisecond)
	close(granter.release)
	is.NoErr(<-taken)
	is.NoErr(<-taken)
}
