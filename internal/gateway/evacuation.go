package gateway

import (
	"context"
	"errors"

	"github.com/VictoriaMetrics/metrics"
)

// Evacuations tells whether the evacuated failure domains are known well enough to send requests;
// see evacuation.Follower.
type Evacuations interface {
	// Current reports whether they are at this moment.
	Current() bool
	// Confirm reports whether they are, after a short wait if necessary.
	Confirm(ctx context.Context) bool
}

// errUnconfirmed is returned if this host does not know whether an evacuation is in force.
var errUnconfirmed = errors.New("evacuations of failure domains are unconfirmed")

var requestsWithheld = metrics.NewCounter("cowslipgw_requests_withheld_total")

// confirmEvacuations reports whether requests may be sent to replicas that are not evacuated. After a
// pause of this host it waits for what was missed.
func (g *Gateway) confirmEvacuations(ctx context.Context) bool {
	return g.evacuations == nil || g.evacuations.Confirm(ctx)
}

// maySend returns a function that reports whether a request may reach a replica at the moment it is
// called; check returns an error if the replica is evacuated or cold. What was decided before a pause
// of this host, or before a record was read, may not be sent.
func (g *Gateway) maySend(check func() error) func() error {
	return func() error {
		err := check()
		if err == nil && g.evacuations != nil && !g.evacuations.Current() {
			err = errUnconfirmed
		}
		if err != nil {
			requestsWithheld.Inc()
		}
		return err
	}
}
