package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/admission"
	"cowslipgw/internal/event"
	"cowslipgw/internal/quarantine"
	"cowslipgw/internal/quota"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/route"
)

// exchange is the state of one request while the gateway handles it.
type exchange struct {
	g     *Gateway
	w     http.ResponseWriter
	start time.Time
	// operation is the exchange in the list of what is in progress.
	operation *operation

	call    *Call
	table   *route.Table
	route   *route.Route
	account *route.Account
	service *route.Service
	// coordinated is set if the hosts coordinate what they send to the service.
	coordinated bool
	body        []byte
	// memory is what is reserved for a long body and a long history.
	memory reservation
	// digests are computed when they are first needed; nil before.
	digests  *quarantine.Request
	deadline time.Time

	// admitted is set if the request was charged to its account's quota; grant is set as
	// well if the account has a limit. startsProgram is set if it is the first request of a
	// program.
	admitted      bool
	startsProgram bool
	grant         *quota.Grant
	// programRefused is why the program was not admitted; nil if it was.
	programRefused *admission.Decision

	// attempts counts the replicas that were tried, except those that refused the request
	// or were unreachable; mayHaveRun is set if one of them may have executed the request.
	attempts   int
	mayHaveRun bool
	tried      map[string]bool
	// next is the lease of a replica that takes over from one without a first byte; nil if there is
	// none.
	next *replica.Lease
	// brokenAt holds the replicas whose connection broke before the end of the answer.
	brokenAt []replica.Record
	// resumptions counts the attempts that continue an earlier one.
	resumptions int
	// after is the ID of the last event that the caller was sent, if the stream is resumed.
	after string
	// replica is the ID of the replica that was tried last.
	replica string
	// through is the host that passed the last attempt on; empty if this host sent it.
	through string
	// headSent is set once the head of a stream was sent to the caller.
	headSent bool
	// status is the status code that was sent; 0 if the connection was aborted.
	status int
	reason string
	// detail is logged beside the reason and not sent to the caller.
	detail string
	// beginTime is how long the turn waited to begin, and storeTime how long its end waited
	// until it was stored.
	beginTime, storeTime time.Duration
	// discardsBody is set if the request was refused while the caller may still be sending the body.
	discardsBody bool
	// callerLeft is set if the caller disconnected before the request ended.
	callerLeft bool
	// disconnect says why the caller counts as disconnected; empty if it does not.
	// disconnectErr is the error of its connection; nil if there was none.
	disconnect    string
	disconnectErr error
}

// refuse sends a refusal and refunds the quota if the request did not run.
func (x *exchange) refuse(f refusal) {
	if x.admitted && !x.mayHaveRun {
		x.refundQuota()
	}
	x.status, x.reason, x.detail = f.status, f.reason, f.detail
	x.closeAfterAnswer()
	x.beforeWrite()
	f.write(x.w)
}

// abort closes the connection because the answer can no longer be completed.
func (x *exchange) abort(reason string) {
	x.status, x.reason = 0, reason
	panic(http.ErrAbortHandler)
}

// noteDisconnect records whether the caller counts as disconnected, and why. A time limit of this
// host cancels the request as well.
func (x *exchange) noteDisconnect(ctx context.Context) {
	if ctx.Err() == nil {
		return
	}
	x.disconnect, x.disconnectErr = callerConnOf(ctx).disconnect()
	x.callerLeft = x.disconnect != disconnectTimeLimit || x.status == 0
}

// accountName returns the name of the client account; empty on public routes.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// digest returns the digests of the request.
func (x *exchange) digest() quarantine.Request {
	if x.digests == nil {
		q := quarantine.RequestOf(x.accountName(), x.call.Method, x.call.URI, x.body)
		if x.call.Program != "" {
			q.Program = xxhash.Sum64String(x.call.Program)
		}
		x.digests = &q
	}
	return *x.digests
}

// logRequest logs the outcome of the request and updates the metrics.
func (x *exchange) logRequest() {
	took := time.Since(x.start)
	requestSeconds.Update(took.Seconds())
	fields := event.Fields{"status": x.status, "ms": took.Milliseconds()}
	if x.call != nil {
		fields["request"] = x.call.ID
		if x.call.Program != "" {
			fields["program"] = x.call.Program
		}
		if x.call.PreviousTurn != "" {
			fields["previous"] = x.call.PreviousTurn
		}
	}
	if x.route != nil {
		fields["route"], fields["config"] = x.route.Name, x.table.Version
		fields["config_age_ms"] = x.g.config.age().Milliseconds()
		fields["account"] = x.accountName()
		if homes := x.homes(); len(homes) > 0 {
			fields["homes"] = homes
		}
	}
	if x.attempts > 0 {
		fields["replica"], fields["attempts"] = x.replica, x.attempts
		if x.through != "" {
			fields["through"] = x.through
		}
	}
	if x.beginTime > 0 {
		fields["begin_ms"], fields["store_ms"] = x.beginTime.Milliseconds(), x.storeTime.Milliseconds()
	}
	if x.reason != "" {
		fields["reason"] = x.reason
	}
	if d := x.programRefused; d != nil {
		fields["admission"], fields["slots"] = d.Reason.String(), d.Slots
		fields["in_flight"], fields["promised"] = d.InFlight, d.Promised
		fields["time_left_ms"], fields["retry_after_ms"] = x.programTimeLeft().Milliseconds(), d.RetryAfter.Milliseconds()
	}
	if x.detail != "" {
		fields["detail"] = x.detail
	}
	if x.route != nil && (x.mayHaveRun && x.reason != "" || x.detail != "") {
		fields["digest"], fields["path_digest"] = x.digest().Exact.String(), x.digest().Path.String()
	}
	if x.disconnect != "" {
		fields["disconnect"] = x.disconnect
		if x.disconnectErr != nil {
			fields["error"] = x.disconnectErr.Error()
		}
	}
	switch {
	case x.callerLeft:
		requestsUnanswered(x.disconnect).Inc()
	case x.status == 0:
		requestsUnanswered(x.reason).Inc()
	}
	switch {
	case x.callerLeft:
		requestsAbandoned.Inc()
		x.g.events.Log(event.CallerDisconnected, fields)
	case x.status == 0 || x.status == http.StatusBadGateway || x.status == http.StatusGatewayTimeout:
		requestsFailed.Inc()
		x.g.events.Log(event.RequestFailed, fields)
	case x.reason != "":
		requestsRefused.Inc()
		x.g.events.Log(event.RequestRefused, fields)
	default:
		requestsAnswered.Inc()
		x.g.events.Log(event.RequestAnswered, fields)
	}
}
