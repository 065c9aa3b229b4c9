package entry

import (
	"context"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/dispatch"
	"cowslipgw/internal/event"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/program"
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
	Limits     Limits
}

// Limits bound what a caller can make the host do.
type Limits struct {
	// Body bounds a request body in bytes, AppBuffer the part of an app's request that is
	// held in memory before it is sent.
	Body      int64
	AppBuffer int64
	// Header and BodyRead bound how long a caller takes to send them.
	Header   time.Duration
	BodyRead time.Duration
	// KeepAlive bounds how long a connection may be idle.
	KeepAlive time.Duration
	// Write bounds how long a caller takes to accept one part of an answer.
	Write time.Duration
	// Begin bounds the wait for a program's turn, Queue the wait for a replica.
	Begin time.Duration
	Queue time.Duration
	// Settle bounds how long a settlement is tried, whether or not the caller is there.
	Settle time.Duration
	// Carry bounds a claimed call whose caller has gone.
	Carry time.Duration
	// Window is how long after Begin a call may be sent (see docs/design.md, 5.4).
	Window time.Duration
	// Stored bounds an answer that is kept for retries, in bytes.
	Stored int64
	// MaxTokens is the completion limit of a call that names none.
	MaxTokens int64
	// HostsTTL is how long callers may keep the list of entry hosts.
	HostsTTL time.Duration
}

// DefaultLimits returns the limits that the settings start from.
func DefaultLimits() Limits {
	return Limits{
		Body:      16 << 20,
		AppBuffer: 1 << 20,
		Header:    5 * time.Second,
		BodyRead:  30 * time.Second,
		KeepAlive: 2 * time.Minute,
		Write:     30 * time.Second,
		Begin:     2 * time.Minute,
		Queue:     time.Minute,
		Settle:    15 * time.Second,
		Carry:     10 * time.Minute,
		Window:    2 * time.Second,
		Stored:    1 << 20,
		MaxTokens: 4096,
		HostsTTL:  30 * time.Second,
	}
}
