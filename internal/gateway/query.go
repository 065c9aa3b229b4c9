package gateway

import "cowslipgw/internal/replica"

// query returns the query for a replica that suits the request.
func (x *exchange) query() replica.Query {
	q := replica.Query{Service: x.service.Name, Class: x.route.Name, Size: x.call.ExpectedTokens, Homes: x.homes()}
	if x.route.Sticky {
		q.Affinity = x.call.Affinity
	}
	if e := x.service.Engine; e != nil {
		q.Work = replica.Work{PromptTokens: x.call.PromptTokens, OwnTokens: x.call.PromptTokens - x.call.SharedTokens,
			ExpectedTokens: x.call.ExpectedTokens, MaxTokens: x.call.MaxTokens,
			TokensPerEvent: max(e.TokensPerEvent, 1), CacheTokens: e.CacheTokens}
	}
	return q
}
