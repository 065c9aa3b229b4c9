package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// maxKeyLength bounds the length of a caller's key in bytes.
const maxKeyLength = 512

// freshnessRetryAfter is the Retry-After of a host whose lists are missing or not
// current.
const freshnessRetryAfter = time.Second

// principal is the sender of a request, according to one version of the lists. The
// account is empty for a request on an open route that has no valid key.
type principal struct {
	lists   *lists.Lists
	hash    lists.KeyHash
	account structs.AccountID
	plan    lists.Plan
}

// bearerKey returns the key in the Authorization header.
func bearerKey(header http.Header) (string, *structs.Problem) {
	values := header.Values("Authorization")
	if len(values) == 0 {
		return "", newProblem(http.StatusUnauthorized, "key-missing", "the request has no Authorization header")
	}
	malformed := newProblem(http.StatusUnauthorized, "key-malformed", `the Authorization header is not "Bearer KEY"`)
	if len(values) > 1 {
		return "", malformed
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.TrimLeft(key, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || !isVisibleASCII(key, maxKeyLength) {
		return "", malformed
	}
	return key, nil
}

// isVisibleASCII reports whether text consists of 1 to limit visible ASCII characters.
func isVisibleASCII(text string, limit int) bool {
	if text == "" || len(text) > limit {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// authenticate identifies the caller of a request by its key.
func (s *Server) authenticate(header http.Header) (principal, *structs.Problem) {
	key, problem := bearerKey(header)
	if problem != nil {
		return principal{}, problem
	}
	if !s.options.Freshness.Current() {
		return principal{}, retryLater("not-current", "this host does not know whether its lists are current; use another entry host", freshnessRetryAfter)
	}
	current := s.options.Lists.Current()
	if current == nil {
		return principal{}, retryLater("not-ready", "this host has no lists yet", freshnessRetryAfter)
	}
	caller := principal{lists: current, hash: lists.HashKey(key)}
	id, ok := current.AccountByKey(caller.hash)
	if !ok {
		return principal{}, newProblem(http.StatusUnauthorized, "key-unknown", "the key belongs to no account")
	}
	caller.account = id
	plan, ok := current.Plans[current.Accounts[id].Plan]
	if !ok {
		return principal{}, newProblem(http.StatusForbidden, "plan-missing", "the account has no plan")
	}
	caller.plan = plan
	return caller, nil
}

// watchKey returns a context that is cancelled with errKeyWithdrawn when the caller's
// key is withdrawn. The key is checked again after the request has been registered,
// since a change before the registration would be missed.
func (s *Server) watchKey(ctx context.Context, caller principal) (context.Context, func()) {
	watched, cancel := context.WithCancelCause(ctx)
	remove := s.registry.add(keyedRequest{hash: caller.hash, account: caller.account, cancel: cancel})
	if id, ok := s.options.Lists.Current().AccountByKey(caller.hash); !ok || id != caller.account {
		cancel(errKeyWithdrawn)
	}
	return watched, func() {
		remove()
		cancel(context.Canceled)
	}
}
