package gateway

import (
	"net/http"
	"time"

	"cowslipgw/internal/replica"
)

// Attempt is the information that the gateway adds to a request for one replica.
type Attempt struct {
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Instance is the ID of the replica that the request is addressed to.
	Instance string
	// Account is the client account of the request; empty on public routes.
	Account string
	// After is the ID of the event after which the stream continues; empty to start at the
	// position that the caller requested.
	After string
	// Priority is the engine priority of the request, if HasPriority is set; 0 goes first.
	Priority    int
	HasPriority bool
}

// AnswerInfo is the metadata of a replica's answer in addition to status and body.
type AnswerInfo struct {
	RequestID string
	// Signed is set if the answer bears a replica's signature. Only signed answers can be
	// complete.
	Signed bool
	// NotExecuted is set if the replica did not execute the request.
	NotExecuted bool
	// Load is nil if the replica did not report it.
	Load *replica.Load
	// RateLimit is nil if the answer does not say whether the replica has one.
	RateLimit *replica.RateLimit
	// Leaving is set if the replica says that it is about to end and wants no new requests.
	Leaving bool
	// Cold is how long the replica stays cold, 0 if it is not; nil if the answer does not say so.
	Cold *time.Duration
}

// Codec translates between the wire format and the gateway's types.
type Codec interface {
	// Decode parses the head of a caller's request.
	Decode(r *http.Request) (*Call, error)
	// Encode adds the attempt to the request headers for the replica.
	Encode(h http.Header, a Attempt)
	// Answer parses the head of a replica's answer.
	Answer(h http.Header) AnswerInfo
}
