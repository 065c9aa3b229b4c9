package host

import (
	"context"

	"cowslipgw/internal/account"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// accountRates takes tokens from the accounts' rate limits for the entry server.
type accountRates struct {
	limiter *account.Limiter
}

// Take implements entry.Rates.
func (r accountRates) Take(ctx context.Context, id structs.AccountID, plan lists.Plan) (account.Decision, error) {
	return r.limiter.Take(ctx, id, account.Limits{Rate: plan.Rate, Burst: plan.Burst})
}

// accountLimits returns a function that looks up an account's rate and burst in the
// lists in force.
func accountLimits(store *lists.Store) func(structs.AccountID) (account.Limits, bool) {
	return func(id structs.AccountID) (account.Limits, bool) {
		plan, ok := store.Current().PlanOf(id)
		return account.Limits{Rate: plan.Rate, Burst: plan.Burst}, ok
	}
}
