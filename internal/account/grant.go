package account

import (
	"time"

	"cowslipgw/internal/structs"
)

// GrantRequest asks the owner of an account's bucket for tokens. Each token admits
// one request.
type GrantRequest struct {
	Account structs.AccountID
	Origin  structs.Origin
	// Seq numbers the requests of one origin and account, so that a retry is applied
	// only once. A retry has the same content as the original request.
	Seq uint64
	// Need is the number of tokens that the host needs immediately. Want is
	// Need plus the tokens that the host would like to prefetch.
	Want, Need int64
	// Spent and Returned settle tokens that were granted earlier.
	Spent, Returned int64
	// Spends lists when the tokens in Spent were spent, oldest first. Tokens in
	// Spent that are not listed count as spent now.
	Spends []Spend
	// Rate (in requests per second) and Burst come from the configuration lists in
	// force at the owner. The owner fills them in.
	Rate  float64
	Burst int64
}

// Spend reports tokens that were spent at about the same time.
type Spend struct {
	Tokens int64
	// Age is at most the time between the spending and the first transmission of the
	// request.
	Age time.Duration
}

// GrantResult is the owner's reply to a GrantRequest.
type GrantResult struct {
	Problem *structs.Problem
	Granted int64
	// Level is the number of tokens left in the bucket.
	Level int64
	// Unsettled is the number of tokens held by other hosts that are unused or whose
	// use is not yet reported. A host that is short of tokens while some are
	// unsettled retries before it refuses the request.
	Unsettled int64
	// RetryAfter is the time until Need could be granted, if Granted is less than
	// Need.
	RetryAfter time.Duration
}
