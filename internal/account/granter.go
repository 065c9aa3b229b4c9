package account

import (
	"context"
	"errors"
)

// ErrUnavailable means that the owner of the account's bucket did not answer. The
// request was not admitted; callers get status 503 with run: no.
var ErrUnavailable = errors.New("owner of the account's rate is unavailable")

// Granter requests tokens from the owner of an account's bucket. After an error it
// is unknown whether the owner applied the request; the limiter retries it with the
// same Seq.
type Granter interface {
	Grant(ctx context.Context, req GrantRequest) (GrantResult, error)
}
