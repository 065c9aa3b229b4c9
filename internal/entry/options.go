package entry

import (
	"context"

	"cowslipgw/internal/account"
	"cowslipgw/internal/dispatch"
	"cowslipgw/internal/event"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/program"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/trace"
	"cowslipgw/internal/upstream"
)

// Programs keeps the order, history and budget of programs. Errors other than a
// *structs.Problem mean that the owner did not answer.
type Programs interface {
	// Begin waits for the program's turn. It may be repeated with the same call.
	Begin(ctx context.Context, request program.BeginRequest) (program.BeginResult, error)
	// Settle may be repeated.
	Settle(ctx context.Context, request program.SettleRequest) error
	End(ctx context.Context, request program.EndRequest) error
}

// Claims keeps idempotency claims. Open and Close may be repeated with the same
// call.
type Claims interface {
	Open(ctx context.Context, request program.OpenRequest) (program.OpenResult, error)
	Close(ctx context.Context, request program.CloseRequest) error
}

// Rates takes the rate of one request. An error means that the account's owner did
// not answer.
type Rates interface {
	Take(ctx context.Context, account structs.AccountID, plan lists.Plan) (account.Decision, error)
}

// Lists gives the lists in force.
type Lists interface {
	Current() *lists.Lists
	// Changed returns a channel that is closed when a newer version is in force.
	Changed() <-chan struct{}
}

// Freshness says whether this host's knowledge of the lists is current.
type Freshness interface {
	Current() bool
}

// Hosts gives the fleet's view and this host's ID.
type Hosts interface {
	View() *fleet.View
	Self() structs.HostID
}

// Options set up a Server. All fields are required.
type Options struct {
	Programs   Programs
	Claims     Claims
	Rates      Rates
	Lists      Lists
	Freshness  Freshness
	Hosts      Hosts
	Dispatcher dispatch.Dispatcher
	Upstream   *upstream.Client
	Logger     *event.Logger
	Tracer     *trace.Tracer
	Limits     settings.Limits
}
