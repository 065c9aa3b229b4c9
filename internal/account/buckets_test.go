package account_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/account"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// TestDecide guards against three faults: applying a grant twice, refilling the
// tokens of a departed host while it may still spend them, and refilling for time
// that another owner measured.
func TestDecide(t *testing.T) {
	is := is.New(t)
	buckets := make(account.Buckets)
	departed := make(map[structs.Origin]bool)
	inView := func(o structs.Origin) bool { return !departed[o] }
	clock := structs.OwnerClock{Owner: structs.Origin{Host: "o1"}, Monotonic: time.Hour}
	a, b := structs.Origin{Host: "a", Incarnation: 1}, structs.Origin{Host: "b", Incarnation: 1}
	decide := func(req account.GrantRequest) (account.GrantResult, bool) {
		req.Account, req.Rate = testAccount, 2
		if req.Burst == 0 {
			req.Burst = 10
		}
		result, op := buckets.Decide(req, 10, inView, clock)
		if op != nil {
			buckets.Apply(op)
		}
		is.True(req.Burst < 10 || buckets.Excess(testAccount) < 1e-9)
		return result, op != nil
	}
	first, changed := decide(account.GrantRequest{Origin: a, Seq: 5, Need: 8})
	is.Equal(first.Granted, int64(8))
	is.True(changed)
	again, changed := decide(account.GrantRequest{Origin: a, Seq: 5, Need: 8})
	is.Equal(again.Granted, int64(8))
	is.True(!changed)
	stale, _ := decide(account.GrantRequest{Origin: a, Seq: 4, Need: 1})
	is.True(stale.Problem != nil)
	short, _ := decide(account.GrantRequest{Origin: b, Seq: 1, Need: 3})
	is.Equal(short.Granted, int64(2))
	is.Equal(short.RetryAfter, 500*time.Millisecond)

	// Host a is evicted while it holds 8 tokens, which it may spend for another 2 s.
	departed[a] = true
	clock.Monotonic += account.GrantLifetime - time.Millisecond
	held, _ := decide(account.GrantRequest{Origin: b, Seq: 2, Need: 10, Spent: 2, Spends: []account.Spend{{Tokens: 2, Age: 2 * time.Second}}})
	is.Equal(held.Granted, int64(2))
	clock.Monotonic += time.Second
	free, _ := decide(account.GrantRequest{Origin: b, Seq: 3, Need: 10, Spent: 2})
	is.Equal(free.Granted, int64(0))
	clock.Monotonic += 4 * time.Second
	refilled, _ := decide(account.GrantRequest{Origin: b, Seq: 4, Need: 8})
	is.Equal(refilled.Granted, int64(8))

	// Another owner has another clock and does not refill for the time before.
	clock = structs.OwnerClock{Owner: structs.Origin{Host: "o2"}, Monotonic: 1000 * time.Hour}
	moved, _ := decide(account.GrantRequest{Origin: b, Seq: 5, Need: 8, Spent: 8})
	is.Equal(moved.Granted, int64(0))
	clock.Monotonic += 2 * time.Second
	later, _ := decide(account.GrantRequest{Origin: b, Seq: 6, Need: 4})
	is.Equal(later.Granted, int64(4))

	// A lower burst applies at once to tokens that are not yet granted.
	clock.Monotonic += time.Minute
	lowered, _ := decide(account.GrantRequest{Origin: b, Seq: 7, Need: 9, Spent: 4, Burst: 3})
	is.Equal(lowered.Granted, int64(3))
}

// slowOwner answers its first request only after GrantLifetime has passed.
type slowOwner struct{ requests []account.GrantRequest }

func (o *slowOwner) Grant(_ context.Context, req account.GrantRequest) (account.GrantResult, error) {
	o.requests = append(o.requests, req)
	if len(o.requests) == 1 {
		time.Sleep(account.GrantLifetime + time.Millisecond)
		return account.GrantResult{Granted: 1}, nil
	}
	return account.GrantResult{RetryAfter: time.Second}, nil
}

// TestLateGrantIsNotSpent guards against spending a token that the owner may already
// have counted as spent and refilled.
func TestLateGrantIsNotSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owner := &slowOwner{}
		limiter := account.NewLimiter(owner, func() structs.Origin { return structs.Origin{Host: "a"} })
		decision, err := limiter.Take(t.Context(), testAccount, account.Limits{Rate: 1, Burst: 1})
		is.NoErr(err)
		is.True(!decision.Allowed)
	})
}

// TestRejoinDropsTokens guards against reports on the tokens of an earlier
// incarnation that settle those of the current one.
func TestRejoinDropsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 1, 5, false)
		h := newTestHost(f, 0)
		limits := account.Limits{Rate: 1, Burst: 1000}
		_, err := h.limiter.Take(t.Context(), testAccount, limits)
		is.NoErr(err)
		f.evict(h.current())
		h.rejoin()
		recorded := &recordingGranter{Granter: f}
		next := account.NewLimiter(recorded, h.current)
		for range 2 {
			_, err = next.Take(t.Context(), testAccount, limits)
			is.NoErr(err)
			h.rejoin()
		}
		synctest.Wait()
		is.Equal(recorded.last.Spent, int64(0))
	})
}

// recordingGranter records the last request.
type recordingGranter struct {
	account.Granter
	last account.GrantRequest
}

func (r *recordingGranter) Grant(ctx context.Context, req account.GrantRequest) (account.GrantResult, error) {
	r.last = req
	return r.Granter.Grant(ctx, req)
}

// TestAuthenticate guards against accepting keys in any form other than the one
// issued.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	key, err := account.NewKey()
	is.NoErr(err)
	other, err := account.NewKey()
	is.NoErr(err)
	is.True(key != other && len(key) > 40)
	current, faults := lists.Parse("[account yard]\nplan=p\nkeys="+lists.HashKey(key).String(), "[plan p]\nrate=1\nburst=1\n")
	is.Equal(len(faults), 0)
	cases := []struct {
		headers []string
		want    account.Auth
	}{
		{nil, account.AuthMissing},
		{[]string{""}, account.AuthMissing},
		{[]string{"Bearer " + key}, account.AuthOK},
		{[]string{"bearer  " + key + " "}, account.AuthOK},
		{[]string{"Bearer " + other}, account.AuthUnknown},
		{[]string{"Bearer " + lists.HashKey(key).String()}, account.AuthMalformed},
		{[]string{"Bearer"}, account.AuthMalformed},
		{[]string{"Basic " + key}, account.AuthMalformed},
		{[]string{key}, account.AuthMalformed},
		{[]string{"Bearer " + key, "Bearer " + key}, account.AuthMalformed},
		{[]string{"Bearer " + key + "\x00"}, account.AuthMalformed},
	}
	for _, c := range cases {
		id, _, auth := account.Authenticate(current, c.headers)
		if auth != c.want || (auth == account.AuthOK) != (id == testAccount) {
			t.Errorf("%q: outcome %v for account %q", c.headers, auth, id)
		}
	}
}
