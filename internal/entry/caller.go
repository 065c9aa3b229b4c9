package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// maxKeyLength bounds a caller's key in bytes.
const maxKeyLength = 512

// freshnessRetry is when a host that is not current may be asked again.
const freshnessRetry = time.Second

// caller is who sent a request, by one version of the lists.
type caller struct {
	lists   *lists.Lists
	hash    lists.KeyHash
	account structs.AccountID
	plan    lists.Plan
}

// bearer returns the key of the Authorization header.
func bearer(header http.Header) (string, *structs.Problem) {
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
	if !found || !strings.EqualFold(scheme, "Bearer") || !visible(key, maxKeyLength) {
		return "", malformed
	}
	return key, nil
}

// visible says whether a text has 1 to limit visible ASCII characters and no other.
func visible(text string, limit int) bool {
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

// authenticate finds the caller of a request.
func (s *Server) authenticate(header http.Header) (caller, *structs.Problem) {
	key, problem := bearer(header)
	if problem != nil {
		return caller{}, problem
	}
	if !s.options.Freshness.Current() {
		return caller{}, retryLater("not-current", "this host does not know whether its lists are current; use another entry host", freshnessRetry)
	}
	current := s.options.Lists.Current()
	if current == nil {
		return caller{}, retryLater("not-ready", "this host has no lists yet", freshnessRetry)
	}
	found := caller{lists: current, hash: lists.HashKey(key)}
	id, ok := current.AccountByKey(found.hash)
	if !ok {
		return caller{}, newProblem(http.StatusUnauthorized, "key-unknown", "the key belongs to no account")
	}
	found.account = id
	plan, ok := current.Plans[current.Accounts[id].Plan]
	if !ok {
		return caller{}, newProblem(http.StatusForbidden, "plan-missing", "the account has no plan")
	}
	found.plan = plan
	return found, nil
}

// watch returns a context that ends with errKeyWithdrawn when the caller's key is
// withdrawn. The key is checked once more after the entry, since a change before it
// would be missed.
func (s *Server) watch(ctx context.Context, found caller) (context.Context, func()) {
	watched, cancel := context.WithCancelCause(ctx)
	remove := s.registry.add(registered{hash: found.hash, account: found.account, cancel: cancel})
	if id, ok := s.options.Lists.Current().AccountByKey(found.hash); !ok || id != found.account {
		cancel(errKeyWithdrawn)
	}
	return watched, func() {
		remove()
		cancel(context.Canceled)
	}
}
