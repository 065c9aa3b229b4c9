package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
	"cowslipgw/internal/pacing"
	"cowslipgw/internal/quarantine"
	"cowslipgw/internal/quota"
	"cowslipgw/internal/relay"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/turns"
)

// Balancer assigns replicas; see balance.Client.
type Balancer interface {
	// Assign sets the replica that is assigned to the request of a query, if there is one.
	Assign(ctx context.Context, q *replica.Query)
}

// Turns stores the turns of programs; see turns.Client.
type Turns interface {
	Begin(ctx context.Context, args turns.BeginArgs, room func(bytes int) bool) (reply turns.BeginReply, flattened bool)
	End(ctx context.Context, t turns.Turn) turns.EndReply
	// PieceBytes is the size of the contents of a turn that End accepts.
	PieceBytes() int
}

// Gateway serves callers' requests. It implements http.Handler.
type Gateway struct {
	codec  Codec
	config *ConfigWatcher
	quota  *quota.Client
	costs  *quota.CostEstimator
	// admission decides which programs begin; nil admits all.
	admission ProgramAdmission
	// coordinated reports whether the hosts coordinate what they send to a service with engines.
	coordinated func(service string) bool
	// balancer assigns replicas of busy services; nil if this host always chooses by itself.
	balancer Balancer
	replicas *replica.Set
	pacing   *pacing.Client
	sender   *relay.Sender
	// evacuations is nil if requests never wait for a confirmation.
	evacuations Evacuations
	turns       Turns
	events      *event.Logger
	// memory limits the long bodies and histories of the requests in progress.
	memory *memoryBudget
	// quarantine holds the requests that crash replicas, which crashes detects.
	quarantine *quarantine.Table
	crashes    *crashDetector
	// storeReachableElsewhere reports whether another live host reaches the store.
	storeReachableElsewhere func() bool

	// progress holds the requests and the settlements, which may continue after the answer.
	progress progress
	// drainEnd is when the last answer must be sent; nil unless the gateway drains.
	drainEnd atomic.Pointer[time.Time]
	// stopped ends when requests in progress are given up by a call of giveUp.
	stopped context.Context
	giveUp  context.CancelFunc
}

// Dependencies are the components that a Gateway uses.
type Dependencies struct {
	Codec  Codec
	Config *ConfigWatcher
	Quota  *quota.Client
	Costs  *quota.CostEstimator
	// Admission decides which programs begin; nil admits all.
	Admission ProgramAdmission
	// Coordinated reports whether the hosts coordinate what they send to a service with engines: which
	// programs begin, where their turns go and in which order. Nil means all services.
	Coordinated func(service string) bool
	// Balancer assigns replicas of busy services; nil if the host always chooses by itself.
	Balancer Balancer
	Replicas *replica.Set
	Pacing   *pacing.Client
	Sender   *relay.Sender
	// Evacuations tells whether requests may be sent; nil if they never wait for a confirmation.
	Evacuations Evacuations
	Turns       Turns
	// MemoryBytes limits the total size of the long bodies and histories of the requests in
	// progress; 0 means a default.
	MemoryBytes int64
	// Quarantine holds the requests that crash replicas.
	Quarantine *quarantine.Table
	Events     *event.Logger
	// StoreReachableElsewhere reports whether another live host reaches the store.
	StoreReachableElsewhere func() bool
}

// New returns a gateway that uses the given dependencies.
func New(deps Dependencies) *Gateway {
	if deps.Coordinated == nil {
		deps.Coordinated = func(string) bool { return true }
	}
	stopped, giveUp := context.WithCancel(context.Background())
	return &Gateway{stopped: stopped, giveUp: giveUp, codec: deps.Codec, config: deps.Config, quota: deps.Quota,
		costs: deps.Costs, admission: deps.Admission, balancer: deps.Balancer, coordinated: deps.Coordinated, replicas: deps.Replicas, pacing: deps.Pacing, sender: deps.Sender,
		evacuations: deps.Evacuations, turns: deps.Turns, events: deps.Events, memory: newMemoryBudget(deps.MemoryBytes),
		quarantine: deps.Quarantine, crashes: newCrashDetector(deps.Sender, deps.Quarantine, deps.Events),
		storeReachableElsewhere: deps.StoreReachableElsewhere}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	operation := g.progress.begin(callerRequest, "")
	x := &exchange{g: g, w: w, start: operation.start, operation: operation, memory: reservation{budget: g.memory}}
	defer func() {
		cause := recover()
		x.memory.release()
		if cause != nil && cause != http.ErrAbortHandler {
			guard.Log(g.events, "request", cause)
			x.status, x.reason = 0, guard.ErrPanic.Error()
		}
		x.noteDisconnect(r.Context())
		x.recordCost()
		x.logRequest()
		operation.end()
		if cause != nil {
			panic(http.ErrAbortHandler)
		}
		if x.discardsBody {
			x.discardBody(r)
		}
	}()
	x.closeAfterAnswer()
	if f := x.admit(r); f != nil {
		if f.bodyUnread && hasBody(r) {
			x.refuseEarly(r, *f)
			return
		}
		x.refuse(*f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(g.stopped, cancel)()
	if x.isTurn() {
		x.serveTurn(ctx)
		return
	}
	x.servePlain(ctx)
}

var (
	requestsAnswered  = metrics.NewCounter(`cowslipgw_requests_total{outcome="answered"}`)
	requestsRefused   = metrics.NewCounter(`cowslipgw_requests_total{outcome="refused"}`)
	requestsFailed    = metrics.NewCounter(`cowslipgw_requests_total{outcome="failed"}`)
	requestsAbandoned = metrics.NewCounter(`cowslipgw_requests_total{outcome="abandoned"}`)
	requestSeconds    = metrics.NewHistogram("cowslipgw_request_seconds")
)
