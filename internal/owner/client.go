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

// Client runs operations on behalf of this host at the owners of their partitions.
type Client struct {
	router  *Router
	service *Service
	backlog *backlog
}

// NewClient returns a client. The service handles operations on partitions that this
// host owns itself. The caller must run Run for the lifetime of the client.
func NewClient(router *Router, service *Service) *Client {
	return &Client{router: router, service: service, backlog: newBacklog()}
}

// Run retries settlements and closes of claims that did not reach an owner in time,
// until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.backlog.run(ctx)
}

// PendingSettlements returns the number of settlements and closes of claims that are
// still being retried.
func (c *Client) PendingSettlements() int {
	return c.backlog.size()
}

// Begin begins a call, waiting for its turn until ctx ends. After ErrUncertain the call
// may have begun; the caller must then settle it.
func (c *Client) Begin(ctx context.Context, request program.BeginRequest) (program.BeginResult, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	id := PartitionOfProgram(request.Key)
	c.service.active.begin(request.Call)
	since := time.Now()
	newRequest := func() program.BeginRequest {
		request.Waited = time.Since(since)
		return request
	}
	for {
		answer, err := sendWithArgs(ctx, c.router, id, methodBegin, newRequest, c.service.Begin)
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

// Settle ends a call. If ctx ends first, the settlement is retried in the background,
// since a call that stays open blocks its program. An answer that arrives after the
// owner has ended the call as unknown is not added to the history; Settle then returns
// ErrRejected joined with a problem that reports this.
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
	return c.backlog.attempt(ctx, settle)
}

// notCommitted returns the problem for an answer that arrived too late for the history.
func notCommitted() *structs.Problem {
	return &structs.Problem{
		Code: "not-committed", Status: http.StatusBadGateway, Run: structs.RunYes,
		Detail: "another host ended the call first, so its answer may be missing from the program's history",
	}
}

// End ends a program at its owner.
func (c *Client) End(ctx context.Context, request program.EndRequest) error {
	_, err := send(ctx, c.router, PartitionOfProgram(request.Key), methodEnd, request, c.service.End)
	return err
}

// Open opens an idempotency claim. After ErrUncertain the claim may be open; the caller
// must then close it as not run.
func (c *Client) Open(ctx context.Context, request program.OpenRequest) (program.OpenResult, error) {
	c.service.active.open(request.Call)
	result, err := send(ctx, c.router, PartitionOfClaim(request.Claim), methodOpen, request, c.service.Open)
	if err == nil && result.State != program.ClaimOpened {
		c.service.active.close(request.Call)
	}
	return result, err
}

// Close ends a claim. If ctx ends first, the close is retried in the background, since
// retries of the request fail with an unknown outcome as long as the claim has none.
func (c *Client) Close(ctx context.Context, request program.CloseRequest) error {
	closeClaim := func(ctx context.Context) error {
		_, err := send(ctx, c.router, PartitionOfClaim(request.Claim), methodClose, request, c.service.Close)
		if err == nil {
			c.service.active.close(request.Call)
		}
		return err
	}
	return c.backlog.attempt(ctx, closeClaim)
}

// Grant requests rate tokens from the owner of the account's bucket.
func (c *Client) Grant(ctx context.Context, request account.GrantRequest) (account.GrantResult, error) {
	return send(ctx, c.router, PartitionOfAccount(request.Account), methodGrant, request, c.service.Grant)
}
