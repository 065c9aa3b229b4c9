package account

import (
	"context"
	"errors"
)

// ErrUnavailable means that the owner of the account's bucket did not answer. The
// request was not admitted; callers see 503 with run: no.
var ErrUnavailable = errors.New("owner of the account's rate is unavailable")

// Granter asks the owner of an account's bucket for tokens. After an error the owner
// may or may not have applied the request; the limiter repeats it with the same Seq.
type Granter interface {
	Grant(ctx context.Context, req GrantRequest) (GrantResult, error)
}
