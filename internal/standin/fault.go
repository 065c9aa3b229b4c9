package standin

import (
	"context"
	"net/http"
	"time"
)

// Sleep waits for the given duration or until ctx is done. It returns false if
// ctx is done.
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

// AbortConnection closes the connection of the current request without sending a
// response. It must be called from a handler's goroutine and does not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}

// headerCallID carries the call ID in requests and responses.
const headerCallID = "X-Call-Id"

// EchoCallID copies the request's call ID into the response. If mismatched is
// set, it sends the ID of a different call instead.
func EchoCallID(w http.ResponseWriter, r *http.Request, mismatched bool) {
	callID := r.Header.Get(headerCallID)
	if callID == "" {
		return
	}
	if mismatched {
		callID += "-other"
	}
	w.Header().Set(headerCallID, callID)
}
