package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cowslipgw/internal/storelog"
)

// TestTurnStoredAtDeadline guards against a stream that is cut at its deadline although the caller
// has all of its events and its turn is stored a moment later.
func TestTurnStoredAtDeadline(t *testing.T) {
	const patience, storing = 600 * time.Millisecond, 120 * time.Millisecond
	for end := 400 * time.Millisecond; end <= patience-60*time.Millisecond; end += 20 * time.Millisecond {
		t.Run(end.String(), func(t *testing.T) {
			t.Parallel()
			var sent atomic.Bool
			gw := newTestGateway(t, 0, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				signed(w, r)
				time.Sleep(end)
				_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
				sent.Store(true)
			})
			gw.log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
				if call == "append" && sent.Load() {
					time.Sleep(storing)
				}
				return nil, false
			})
			start := time.Now()
			reply := gw.call(t, "POST", "/chat/1", "x", "Id", "a", "Key", "k", "Program", "p", "Patience", fmt.Sprint(patience.Milliseconds()))
			if reply.status != http.StatusOK || !reply.complete {
				t.Errorf("status %d, complete %v after %v", reply.status, reply.complete, time.Since(start))
			}
		})
	}
}

// TestTurnNotStored guards against a stream that waits for its turn to be stored longer after its
// deadline than an answer may take, or that looks complete although the turn is not stored.
func TestTurnNotStored(t *testing.T) {
	var sent atomic.Bool
	gw := newTestGateway(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		signed(w, r)
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		sent.Store(true)
	})
	gw.log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
		if call == "append" && sent.Load() {
			return storelog.ErrUnavailable, false
		}
		return nil, false
	})
	start := time.Now()
	reply := gw.call(t, "POST", "/chat/1", "x", "Id", "a", "Key", "k", "Program", "p", "Patience", "300")
	if reply.complete || time.Since(start) > 300*time.Millisecond+500*time.Millisecond {
		t.Errorf("complete %v after %v", reply.complete, time.Since(start))
	}
}
