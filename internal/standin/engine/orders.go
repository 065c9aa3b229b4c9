package engine

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"cowslipgw/internal/standin"
)

// orderAnswer is the answer to an accepted order.
type orderAnswer struct {
	// State is "done", or "loading" for a model that is not loaded yet.
	State string `json:"state"`
	// FreedTokens is how much cache a release freed.
	FreedTokens int64 `json:"freed_tokens"`
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if !e.Record(w, r) {
		return
	}
	var order Order
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	if fault := order.fault(); fault != "" {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", fault)
		return
	}
	e.mu.Lock()
	answer, refused := e.obeyLocked(order)
	e.mu.Unlock()
	if refused != nil {
		refused.write(w)
		return
	}
	e.load.Refresh()
	status := http.StatusOK
	if answer.State == "loading" {
		status = http.StatusAccepted
	}
	standin.WriteJSON(w, status, answer)
}

// fault says what is missing in an order; "" when it is complete.
func (o *Order) fault() string {
	switch {
	case o.Kind == OrderLoad && o.Model == "":
		return "a load order needs a model"
	case o.Kind == OrderRelease && o.Program == 0:
		return "a release order needs a program"
	case o.Kind == OrderCancel && o.Call == "":
		return "a cancel order needs a call"
	case !slices.Contains([]string{OrderLoad, OrderRelease, OrderRole, OrderCancel}, o.Kind):
		return fmt.Sprintf("unknown kind %q; allowed: load, release, role, cancel", o.Kind)
	default:
		return ""
	}
}

// obeyLocked carries out an order unless its fencing number is old.
func (e *Engine) obeyLocked(order Order) (orderAnswer, *refusal) {
	stale := &refusal{http.StatusConflict, "stale_fence", "the fencing number is older than one that was seen"}
	answer := orderAnswer{State: "done"}
	switch order.Kind {
	case OrderCancel:
		s := e.calls[order.Call]
		if s != nil && e.settings.ChecksFence && order.Fence < s.fence {
			return answer, stale
		}
		if s != nil {
			e.cancelLocked(s)
		}
	case OrderRelease:
		if !e.fenceLocked(programSubject(order.Program), order.Fence) {
			return answer, stale
		}
		answer.FreedTokens = e.cache.release(order.Program)
	default:
		if !e.fenceLocked("replica", order.Fence) {
			return answer, stale
		}
		answer.State = e.configureLocked(order)
	}
	e.orders = append(e.orders, order)
	return answer, nil
}

// configureLocked carries out the orders that concern the whole replica.
func (e *Engine) configureLocked(order Order) (state string) {
	if order.Kind == OrderRole {
		e.role = order.Role
		return "done"
	}
	return e.loadModelLocked(order.modelName())
}

// programSubject is what the fencing numbers of a program's calls and orders are
// compared under; "" for no program.
func programSubject(program uint64) string {
	if program == 0 {
		return ""
	}
	return "program " + strconv.FormatUint(program, 10)
}

// fenceLocked reports whether a fencing number is not older than the newest one
// for the subject, and notes it. An engine that does not check accepts any.
func (e *Engine) fenceLocked(subject string, fence uint64) bool {
	if !e.settings.ChecksFence || subject == "" {
		return true
	}
	if fence < e.fences[subject] {
		return false
	}
	e.fences[subject] = fence
	return true
}
