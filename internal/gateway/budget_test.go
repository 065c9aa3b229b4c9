package gateway_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
)

// runUntilExhausted sends turns of program p on a route that stores no turns until the budget
// is spent, and returns the number of turns that were answered. Each of them generates two
// tokens of at most ten.
func runUntilExhausted(t *testing.T, gw *testGateway, series string, budget int) int {
	t.Helper()
	const limit = 100
	for n := range limit {
		reply := gw.call(t, "POST", "/draft/1", "x", "Id", series+strconv.Itoa(n), "Key", "k", "Program", "p", "Budget", strconv.Itoa(budget))
		switch reply.status {
		case http.StatusOK:
		case http.StatusPaymentRequired:
			return n
		default:
			t.Fatalf("turn %d: status %d", n, reply.status)
		}
	}
	t.Fatalf("%d turns were answered with a budget of %d tokens", limit, budget)
	return limit
}

// TestBudgetWithoutStoredTurns guards against a program without end that spends more than its
// budget because its route stores no turns.
func TestBudgetWithoutStoredTurns(t *testing.T) {
	is := is.New(t)
	var seen []string
	gw := newTestGateway(t, 0, engine(&seen))
	answered := runUntilExhausted(t, gw, "t", 30)
	is.Equal(answered, 11) // 22 tokens; the next turn could generate 10 more
	is.Equal(len(seen), answered)
}

// TestBudgetSurvivesLossOfAllHosts guards against a program that gets its budget again because
// all hosts that knew what it had spent were lost.
func TestBudgetSurvivesLossOfAllHosts(t *testing.T) {
	is := is.New(t)
	var seen []string
	log := storelog.NewMemory()
	answered := runUntilExhausted(t, newTestGatewayOver(t, log, 0, engine(&seen)), "t", 30)
	later := newTestGatewayOver(t, log, 0, engine(&seen))
	is.Equal(runUntilExhausted(t, later, "u", 30), 0)
	is.Equal(len(seen), answered)
}

// TestSpendingRecordIsNoTurn guards against continuing a turn of a route that stores none: its
// history would be missing from the prompt.
func TestSpendingRecordIsNoTurn(t *testing.T) {
	is := is.New(t)
	var seen []string
	gw := newTestGateway(t, 0, engine(&seen))
	is.Equal(gw.call(t, "POST", "/draft/1", "in1;", "Id", "t1", "Key", "k", "Program", "p", "Budget", "100").status, http.StatusOK)
	is.Equal(gw.call(t, "POST", "/chat/1", "in2;", "Id", "t2", "Key", "k", "Program", "p", "Budget", "100", "Previous", "t1").status, http.StatusNotFound)
	is.Equal(len(seen), 1)
}
