package standin

import (
	"context"
	"net/http"
	"time"
)

// Sleep waits for a time or until ctx ends. It returns false when ctx ended.
func Sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Drop breaks the connection of the request without an answer. It does not
// return.
func Drop() {
	panic(http.ErrAbortHandler)
}

// headerCall is the header that names a call in both directions.
const headerCall = "X-Call-Id"

// EchoCall repeats the call's name in the answer, or names another call when
// foreign is set.
func EchoCall(w http.ResponseWriter, r *http.Request, foreign bool) {
	call := r.Header.Get(headerCall)
	if call == "" {
		return
	}
	if foreign {
		call += "-other"
	}
	w.Header().Set(headerCall, call)
}
