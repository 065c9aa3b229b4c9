package entry

import (
	"context"
	"fmt"
	"math"
	"net/http"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// policyName names the rate policy in the RateLimit headers.
const policyName = `"account"`

// takeRate takes the rate of one request and sets the RateLimit headers.
func (s *Server) takeRate(ctx context.Context, header http.Header, found caller) *structs.Problem {
	ctx, span := s.options.Tracer.Start(ctx, "entry.rate")
	defer span.End()
	decision, err := s.options.Rates.Take(ctx, found.account, found.plan)
	if err != nil {
		return problemOf(err, "rate-unavailable", "the owner of the account's rate does not answer")
	}
	rateHeader(header, found, decision)
	if decision.Allowed {
		return nil
	}
	problem := newProblem(http.StatusTooManyRequests, "rate-exceeded",
		fmt.Sprintf("the account's rate of %g requests a second and burst of %d is used up", found.plan.Rate, found.plan.Burst))
	problem.RetryAfter = max(decision.RetryAfter, 1)
	return problem
}

// rateHeader sets RateLimit and RateLimit-Policy as the IETF draft
// "RateLimit header fields for HTTP" describes them.
func rateHeader(header http.Header, found caller, decision account.Decision) {
	window := int64(1)
	if found.plan.Rate > 0 {
		window = max(1, int64(math.Ceil(float64(found.plan.Burst)/found.plan.Rate)))
	}
	header.Set("RateLimit-Policy", fmt.Sprintf("%s;q=%d;w=%d", policyName, found.plan.Burst, window))
	header.Set("RateLimit", fmt.Sprintf("%s;r=%d;t=%d", policyName, max(0, decision.Remaining), int64(math.Ceil(decision.Reset.Seconds()))))
}
