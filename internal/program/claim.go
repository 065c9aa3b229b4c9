package program

import (
	"time"

	"cowslipgw/internal/structs"
)

// ClaimKey names an idempotency claim.
type ClaimKey struct {
	Account structs.AccountID
	Key     string
}

// ClaimState says what the owner found for an idempotency key.
type ClaimState int

const (
	// ClaimOpened means that the claim is new and the request may run.
	ClaimOpened ClaimState = iota + 1
	// ClaimRunning means that the request runs at a live host.
	ClaimRunning
	// ClaimUnknown means that the request was claimed and its outcome is lost.
	ClaimUnknown
	// ClaimFinished means that the answer is stored.
	ClaimFinished
	// ClaimMismatch means that the key was used with another body.
	ClaimMismatch
)

// OpenRequest claims an idempotency key before a request is sent.
type OpenRequest struct {
	Claim  ClaimKey
	Digest [32]byte
	Call   structs.CallID
	Origin structs.Origin
	Now    time.Time
}

// OpenResult is the owner's answer to OpenRequest.
type OpenResult struct {
	Problem *structs.Problem
	State   ClaimState
	// Answer is set when State is ClaimFinished.
	Answer *StoredAnswer
}

// CloseRequest ends a claim. OutcomeNotRun removes it.
type CloseRequest struct {
	Claim   ClaimKey
	Call    structs.CallID
	Outcome structs.Outcome
	Answer  *StoredAnswer
	Now     time.Time
}

// StoredAnswer is a whole answer that is kept for retries.
type StoredAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
}
