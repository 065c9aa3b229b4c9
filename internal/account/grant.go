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
	Seq uint64
	// Want is how many tokens the host would like, Need how many it needs at once.
	Want, Need int64
	// Spent and Returned report on tokens granted earlier.
	Spent, Returned int64
	// Rate (requests a second) and Burst come from the lists in force at the asking host.
	Rate  float64
	Burst int64
}

// GrantResult is the owner's answer.
type GrantResult struct {
	Problem *structs.Problem
	Granted int64
	// Level is what is left in the bucket.
	Level int64
	// RetryAfter is when Need could be granted, if Granted is less than Need.
	RetryAfter time.Duration
}
