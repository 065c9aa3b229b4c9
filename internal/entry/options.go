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

// Programs maintains the order, history and budget of programs. An error other than a
// *structs.Problem means that the owner did not respond.
type Programs interface {
	// Begin waits for the call's turn in the program. It is idempotent for the same
	// call.
	Begin(ctx context.Context, request program.BeginRequest) (program.BeginResult, error)
	// Settle is idempotent for the same call.
	Settle(ctx context.Context, request program.SettleRequest) error
	End(ctx context.Context, request program.EndRequest) error
}

// Claims maintains idempotency claims. Open and Close are idempotent for the same call.
type Claims interface {
	Open(ctx context.Context, request program.OpenRequest) (program.OpenResult, error)
	Close(ctx context.Context, request program.CloseRequest) error
}

// Rates charges one request to an account's rate. An error means that the account's
// owner did not respond.
type Rates interface {
	Take(ctx context.Context, account structs.AccountID, plan lists.Plan) (account.Decision, error)
}

// Lists provides the lists in force.
type Lists interface {
	Current() *lists.Lists
	// Changed returns a channel that is closed when a newer version comes into force.
	Changed() <-chan struct{}
}

// Freshness reports whether this host's copy of the lists is known to be current.
type Freshness interface {
	Current() bool
}

// Hosts provides the fleet's view and this host's ID.
type Hosts interface {
	View() *fleet.View
	Self() structs.HostID
}

// Options configures a Server. All fields are required.
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
