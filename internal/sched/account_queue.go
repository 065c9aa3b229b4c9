package sched

import (
	"cmp"
	"slices"
	"strings"

	"cowslipgw/internal/structs"
)

// accountQueue holds the waiting calls of one client account, sorted by rank.
type accountQueue struct {
	id structs.AccountID
	// virtualTime is the cost served so far divided by the account's weight.
	virtualTime float64
	// meanOutput is the exponential moving average of completion tokens per call.
	meanOutput float64
	// running counts the account's calls in flight.
	running int
	calls   []rankedCall
}

// rankedCall is a waiting call with its rank. The rank can be computed once, when
// the call is queued: attained - ageing*(now-arrived) orders calls in the same way
// as attained + ageing*arrived, which does not depend on the current time.
type rankedCall struct {
	call      *Call
	rank      float64
	sequence  uint64
	preferred structs.ReplicaID
}

// initialOutput is the assumed completion length, in tokens, for an account without
// any answered calls.
const initialOutput = 200

func compareRank(a, b rankedCall) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.sequence, b.sequence))
}

// add inserts a call at the position given by its rank.
func (q *accountQueue) add(r rankedCall) {
	index, _ := slices.BinarySearchFunc(q.calls, r, compareRank)
	q.calls = slices.Insert(q.calls, index, r)
}

// remove deletes the call at the given index.
func (q *accountQueue) remove(index int) {
	q.calls = slices.Delete(q.calls, index, index+1)
}

// idle reports whether the account has neither waiting nor running calls.
func (q *accountQueue) idle() bool {
	return len(q.calls) == 0 && q.running == 0
}

// expectedCost estimates the cost of a call when the first cached tokens of its
// prompt are in the replica's cache.
func (q *accountQueue) expectedCost(call *Call, cached int64, s Settings) float64 {
	output := q.meanOutput
	if call.MaxTokens > 0 {
		output = min(output, float64(call.MaxTokens))
	}
	return s.cost(call.PromptTokens, cached, output)
}

// cost returns the cost of a call in units of one uncached prompt token. It is at
// least 1.
func (s Settings) cost(prompt, cached int64, output float64) float64 {
	cached = min(cached, prompt)
	return max(1, float64(prompt-cached)+s.CachedCost*float64(cached)+s.OutputCost*output)
}

// rankAccounts sorts accounts by virtual time, and by ID where virtual times are
// equal.
func rankAccounts(accounts []*accountQueue) {
	slices.SortFunc(accounts, func(a, b *accountQueue) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), strings.Compare(string(a.id), string(b.id)))
	})
}
