package entry

import (
	"context"
	"fmt"
	"math"
	"net/http"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// ratePolicyName is the name of the rate policy in the RateLimit headers.
const ratePolicyName = `"account"`

// takeRate charges one request to the account's rate and sets the RateLimit headers.
func (s *Server) takeRate(ctx context.Context, header http.Header, caller principal) *structs.Problem {
	ctx, span := s.options.Tracer.Start(ctx, "entry.rate")
	defer span.End()
	decision, err := s.options.Rates.Take(ctx, caller.account, caller.plan)
	if err != nil {
		return problemOf(err, "rate-unavailable", "the owner of the account's rate does not answer")
	}
	setRateHeaders(header, caller, decision)
	if decision.Allowed {
		return nil
	}
	problem := newProblem(http.StatusTooManyRequests, "rate-exceeded",
		fmt.Sprintf("the account's rate of %g requests a second and burst of %d is used up", caller.plan.Rate, caller.plan.Burst))
	problem.RetryAfter = max(decision.RetryAfter, 1)
	return problem
}

// setRateHeaders sets RateLimit and RateLimit-Policy according to the IETF draft
// "RateLimit header fields for HTTP".
func setRateHeaders(header http.Header, caller principal, decision account.Decision) {
	window := int64(1)
	if caller.plan.Rate > 0 {
		window = max(1, int64(math.Ceil(float64(caller.plan.Burst)/caller.plan.Rate)))
	}
	header.Set("RateLimit-Policy", fmt.Sprintf("%s;q=%d;w=%d", ratePolicyName, caller.plan.Burst, window))
	header.Set("RateLimit", fmt.Sprintf("%s;r=%d;t=%d", ratePolicyName, max(0, decision.Remaining), int64(math.Ceil(decision.Reset.Seconds()))))
}
