package gateway

import (
	"net/http"
	"time"

	"cowslipgw/internal/replica"
)

// Attempt is what the system adds to a request for one replica.
type Attempt struct {
	// Remaining is the time that the replica may take.
	Remaining time.Duration
	// Instance is the replica that is meant.
	Instance string
	// Account is the client account that the request runs for; empty on public routes.
	Account string
}

// AnswerInfo is what a replica's answer says beside status and body.
type AnswerInfo struct {
	RequestID string
	// Signed answers come from a replica and can be complete.
	Signed bool
	// NotRun says that the replica did not run the request.
	NotRun bool
	// Load is nil if the replica did not report it.
	Load *replica.Load
}

// Codec translates between the wire and the product.
type Codec interface {
	// Decode reads the head of a caller's request.
	Decode(r *http.Request) (*Call, error)
	// Encode adds an attempt to the headers for the replica.
	Encode(h http.Header, a Attempt)
	// Answer reads the head of a replica's answer.
	Answer(h http.Header) AnswerInfo
}
