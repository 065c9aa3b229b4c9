package gateway

import (
	"net/http"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/quota"
	"cowslipgw/internal/route"
)

// exchange is one request on its way through the gateway.
type exchange struct {
	g     *Gateway
	w     http.ResponseWriter
	start time.Time

	call     *Call
	table    *route.Table
	route    *route.Route
	account  *route.Account
	service  *route.Service
	body     []byte
	deadline time.Time

	// admitted says that the request was taken off its account's quota, by grant if the
	// account has a limit, and starts that it is the first of a program.
	admitted bool
	starts   bool
	grant    *quota.Grant

	// attempts counts the replicas that were tried, and ran says that one of them may
	// have run the request.
	attempts int
	ran      bool
	tried    map[string]bool
	// replica is the last one that was tried.
	replica string
	// status is what the caller got; 0 if the connection was ended.
	status int
	reason string
	// left says that the caller had closed its connection.
	left bool
}

// refuse answers for the system.
func (x *exchange) refuse(f refusal) {
	if x.admitted && !x.ran {
		x.giveBack()
	}
	x.status, x.reason = f.status, f.reason
	f.write(x.w)
}

// abort ends the connection, since the answer can no longer be completed.
func (x *exchange) abort(reason string) {
	x.status, x.reason = 0, reason
	panic(http.ErrAbortHandler)
}

// accountName returns the name of the client account; empty on public routes.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// report writes the log line of the request.
func (x *exchange) report() {
	took := time.Since(x.start)
	requestSeconds.Update(took.Seconds())
	fields := event.Fields{"status": x.status, "ms": took.Milliseconds()}
	if x.call != nil {
		fields["request"] = x.call.ID
		if x.call.Program != "" {
			fields["program"] = x.call.Program
		}
		if x.call.Previous != "" {
			fields["previous"] = x.call.Previous
		}
	}
	if x.route != nil {
		fields["route"], fields["config"] = x.route.Name, x.table.Version
		fields["config_age_ms"] = x.g.config.age().Milliseconds()
		fields["account"] = x.accountName()
	}
	if x.attempts > 0 {
		fields["replica"], fields["attempts"] = x.replica, x.attempts
	}
	if x.reason != "" {
		fields["reason"] = x.reason
	}
	switch {
	case x.left:
		requestsAbandoned.Inc()
		x.g.events.Log(event.CallerLeft, fields)
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
