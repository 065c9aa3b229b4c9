package relay

import "time"

const (
	// minLossRounds is the number of rounds from which on open connections count as lost, too. One
	// round may be a lost packet, a full listen queue or a replica that resumes between both attempts.
	minLossRounds = 3
	// minLossTime is the time that the rounds must span before answers to requests that must not be
	// repeated are given up. A replica that is silent and short of room for connections may respond to
	// some hosts only; it usually resumes after a second.
	minLossTime = 1400 * time.Millisecond
)

// evidence is what shows that the network path to replicas is lost, and not only new connections
// fail. In each round a replica does not respond to a new connection of this host, and then to one
// of another host. The zero value has no rounds.
type evidence struct {
	rounds int
	// since is the start of the first round, until the end of the last one.
	since, until time.Time
}

// add adds a round, from this host's attempt to the response to the other host. Rounds that
// overlap have one cause and count once.
func (e *evidence) add(from, until time.Time) {
	if e.rounds > 0 && from.Before(e.until) {
		return
	}
	if e.rounds == 0 {
		e.since = from
	}
	e.rounds++
	e.until = until
}

// heard discards the evidence if bytes arrived after its start.
func (e *evidence) heard(at time.Time) {
	if at.After(e.since) {
		*e = evidence{}
	}
}

// isStrong reports whether answers can be given up for it. Those to repeatable requests can be
// replaced.
func (e *evidence) isStrong(repeatable bool) bool {
	return e.rounds >= minLossRounds && (repeatable || e.until.Sub(e.since) >= minLossTime)
}
