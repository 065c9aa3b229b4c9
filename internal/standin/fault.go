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
