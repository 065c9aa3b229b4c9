package relay

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// checkTimeout limits opening a connection to find out whether a link is lost. The network delay
	// to a replica is one to three milliseconds.
	checkTimeout = 100 * time.Millisecond
	// maxCheckDelay is how much later than its limit a check may end. This host was short of
	// processor time then and may not have seen the response.
	maxCheckDelay = 50 * time.Millisecond
)

// check is an attempt to open a connection over a link. Its result is valid once done is closed.
type check struct {
	done    chan struct{}
	started time.Time
	result  checkResult
}

// checkResult is what an attempt to open a connection says about a link.
type checkResult uint8

const (
	// opened means that the link works.
	opened checkResult = iota
	// refused means that the network path works, and so may open connections.
	refused
	// unanswered means that the path may be lost.
	unanswered
	// inconclusive means that the cause lies in this host.
	inconclusive
)

// String returns the cause of a failure as logs and metrics name it.
func (r checkResult) String() string {
	return [...]string{opened: "opened", refused: "refused", unanswered: "unanswered", inconclusive: "inconclusive"}[r]
}

// resultOf returns what the error of an attempt says that took the given time.
func resultOf(err error, took time.Duration) checkResult {
	var network net.Error
	switch {
	case err == nil:
		return opened
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return refused
	case took > checkTimeout+maxCheckDelay:
		return inconclusive
	case errors.As(err, &network) && network.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return unanswered
	default:
		return inconclusive
	}
}

// count counts a failed check by its cause.
func (r checkResult) count() {
	metrics.GetOrCreateCounter(`cowslipgw_upstream_link_checks_failed_total{cause="` + r.String() + `"}`).Inc()
}
