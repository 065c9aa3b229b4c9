package program

import (
	"time"

	"cowslipgw/internal/structs"
)

// ClaimKey identifies the claim on an idempotency key of a client account.
type ClaimKey struct {
	Account structs.AccountID
	Key     string
}

// ClaimState is the state of an idempotency key at its owner.
type ClaimState int

const (
	// ClaimOpened means that the claim is new and the request may run.
	ClaimOpened ClaimState = iota + 1
	// ClaimRunning means that the request is running at a live host.
	ClaimRunning
	// ClaimUnknown means that the request was claimed and its outcome is lost.
	ClaimUnknown
	// ClaimFinished means that the request was run; its answer is stored or was
	// dropped.
	ClaimFinished
	// ClaimMismatch means that the key was used with a different body.
	ClaimMismatch
)

// OpenRequest claims an idempotency key before the request is sent.
type OpenRequest struct {
	Claim  ClaimKey
	Digest [32]byte
	Call   structs.CallID
	Origin structs.Origin
	Now    time.Time
}

// OpenResult is the owner's answer to an OpenRequest.
type OpenResult struct {
	Problem *structs.Problem
	State   ClaimState
	// Answer is the stored answer. It is set only if State is ClaimFinished and the
	// answer is still kept.
	Answer *StoredAnswer
}

// CloseRequest ends a claim. With OutcomeNotRun the key becomes free again.
type CloseRequest struct {
	Claim   ClaimKey
	Call    structs.CallID
	Outcome structs.Outcome
	Answer  *StoredAnswer
	Now     time.Time
}

// StoredAnswer is a complete answer that is kept for retries.
type StoredAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
}
