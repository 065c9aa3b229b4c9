package account

import (
	"time"

	"cowslipgw/internal/structs"
)

// GrantRequest asks the owner of an account's bucket for tokens. One token admits one
// request.
type GrantRequest struct {
	Account structs.AccountID
	Origin  structs.Origin
	// Seq numbers the requests of one origin and account, so that a retry is applied once.
	// A retry has the same content.
	Seq uint64
	// Want is how many tokens the host would like, Need how many it needs at once.
	Want, Need int64
	// Spent and Returned report on tokens granted earlier.
	Spent, Returned int64
	// Spends says when the tokens in Spent were spent, the oldest first. Tokens of Spent
	// that are not listed count as spent now.
	Spends []Spend
	// Rate (requests a second) and Burst come from the lists in force at the owner; the
	// owner sets them.
	Rate  float64
	Burst int64
}

// Spend reports tokens that were spent at about the same time.
type Spend struct {
	Tokens int64
	// Age is at most the time from the spending to the first sending of the request.
	Age time.Duration
}

// GrantResult is the owner's answer.
type GrantResult struct {
	Problem *structs.Problem
	Granted int64
	// Level is what is left in the bucket.
	Level int64
	// Unsettled is how many tokens other hosts hold that they have not used or not yet
	// reported. A request that is short of tokens while some are unsettled asks again
	// before it is refused.
	Unsettled int64
	// RetryAfter is when Need could be granted, if Granted is less than Need.
	RetryAfter time.Duration
}
