package owner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// Client runs operations of this host at the owners of their partitions.
type Client struct {
	router  *Router
	service *Service
	backlog *backlog
}

// NewClient returns a client. service decides for the partitions that this host owns
// itself. Run must be running.
func NewClient(router *Router, service *Service) *Client {
	return &Client{router: router, service: service, backlog: newBacklog()}
}

// Run repeats settlements that did not reach an owner in time, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.backlog.run(ctx)
}

// Backlog counts the settlements that are still being repeated.
func (c *Client) Backlog() int {
	return c.backlog.size()
}

// Begin begins a call and waits for its turn until ctx ends. The call may have begun
// after ErrUncertain; the caller settles it then.
func (c *Client) Begin(ctx context.Context, request program.BeginRequest) (program.BeginResult, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	id := PartitionOfProgram(request.Key)
	c.service.active.begin(request.Call)
	since := time.Now()
	asking := func() program.BeginRequest {
		request.Waited = time.Since(since)
		return request
	}
	for {
		answer, err := sendEach(ctx, c.router, id, methodBegin, asking, c.service.Begin)
		if err != nil {
			return program.BeginResult{}, err
		}
		if !answer.Waiting {
			if answer.Result.Problem != nil {
				c.service.active.settle(request.Call)
			}
			return answer.Result, nil
		}
		if ctx.Err() != nil {
			return program.BeginResult{}, errors.Join(ErrUnavailable, ctx.Err())
		}
	}
}

// Settle ends a call. When ctx ends first, the settlement is repeated in the
// background, since a call that stays open blocks its program. An answer that came
// after the owner had ended the call as unknown is not in the history; Settle then
// returns ErrRejected with a problem that says so.
func (c *Client) Settle(ctx context.Context, request program.SettleRequest) error {
	settle := func(ctx context.Context) error {
		answer, err := send(ctx, c.router, PartitionOfProgram(request.Key), methodSettle, request, c.service.Settle)
		if err == nil {
			c.service.active.settle(request.Call)
		}
		if err == nil && answer.Ended && request.Outcome == structs.OutcomeAnswered {
			return errors.Join(ErrRejected, notCommitted())
		}
		return err
	}
	return c.backlog.try(ctx, settle)
}

// notCommitted is the problem of an answer that came too late for the history.
func notCommitted() *structs.Problem {
	return &structs.Problem{
		Code: "not-committed", Status: http.StatusBadGateway, Run: structs.RunYes,
		Detail: "another host ended the call first, so its answer may be missing from the program's history",
	}
}

// End ends a program.
func (c *Client) End(ctx context.Context, request program.EndRequest) error {
	_, err := send(ctx, c.router, PartitionOfProgram(request.Key), methodEnd, request, c.service.End)
	return err
}

// Open opens an idempotency claim. The claim may be open after ErrUncertain; the caller
// closes it then as not run.
func (c *Client) Open(ctx context.Context, request program.OpenRequest) (program.OpenResult, error) {
	c.service.active.open(request.Call)
	result, err := send(ctx, c.router, PartitionOfClaim(request.Claim), methodOpen, request, c.service.Open)
	if err == nil && result.State != program.ClaimOpened {
		c.service.active.close(request.Call)
	}
	return result, err
}

// Close ends a claim. When ctx ends first, it is repeated in the background, since a
// claim without outcome makes retries fail as unknown.
func (c *Client) Close(ctx context.Context, request program.CloseRequest) error {
	closeClaim := func(ctx context.Context) error {
		_, err := send(ctx, c.router, PartitionOfClaim(request.Claim), methodClose, request, c.service.Close)
		if err == nil {
			c.service.active.close(request.Call)
		}
		return err
	}
	return c.backlog.try(ctx, closeClaim)
}

// Grant asks for rate tokens.
func (c *Client) Grant(ctx context.Context, request account.GrantRequest) (account.GrantResult, error) {
	return send(ctx, c.router, PartitionOfAccount(request.Account), methodGrant, request, c.service.Grant)
}
