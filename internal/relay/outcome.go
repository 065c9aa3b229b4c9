package relay

import (
	"errors"
	"net/http"

	"cowslipgw/internal/forward"
)

// Outcome is what became of a request that a host passed on for another one.
type Outcome string

// The outcomes of requests.
const (
	// Answered means that the answer is that of the replica.
	Answered Outcome = "answered"
	// Reachable means that the replica accepts a connection, in answers to checks.
	Reachable Outcome = "reachable"
	// Unreachable means that nothing was sent, since no connection to the replica could be opened.
	Unreachable Outcome = "unreachable"
	// Declined means that nothing was sent, since this host would not use the replica.
	Declined Outcome = "declined"
	// Broken means that the connection broke after the request, or a part of it, was sent.
	Broken Outcome = "broken"
	// Invalid means that the replica sent something other than an answer.
	Invalid Outcome = "invalid"
)

// outcomeOfError returns the outcome of an attempt over an open connection.
func outcomeOfError(err error) Outcome {
	switch {
	case err == nil:
		return Answered
	case errors.Is(err, forward.ErrWithheld):
		return Declined
	case errors.Is(err, forward.ErrInvalidAnswer):
		return Invalid
	default:
		return Broken
	}
}

// Set adds the outcome to the header of an answer.
func (o Outcome) Set(h http.Header) { h.Set(headerOutcome, string(o)) }

// outcomeOf returns the outcome that an answer of another host bears, or Broken if it bears none.
func outcomeOf(h http.Header) Outcome {
	switch o := Outcome(h.Get(headerOutcome)); o {
	case Answered, Reachable, Unreachable, Declined, Invalid:
		return o
	}
	return Broken
}

// errReplicaUnreachable is returned if the other host could not open a connection to the replica.
var errReplicaUnreachable = errors.New("other host does not reach the replica")

// errDeclined is returned if the other host would not use the replica.
var errDeclined = errors.New("other host does not use the replica")

// err returns the error for an outcome without an answer of the replica.
func (o Outcome) err() error {
	switch o {
	case Unreachable:
		return errReplicaUnreachable
	case Declined:
		return errDeclined
	case Invalid:
		return forward.ErrInvalidAnswer
	default:
		return forward.ErrBroken
	}
}
