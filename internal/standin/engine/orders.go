package engine

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"cowslipgw/internal/standin"
)

// orderResponse is the response to an accepted order.
type orderResponse struct {
	// State is "done", or "loading" if a model is still being loaded.
	State string `json:"state"`
	// FreedTokens is the number of cached tokens that a release freed.
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
	if problem := order.validate(); problem != "" {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", problem)
		return
	}
	e.mu.Lock()
	response, apiErr := e.executeOrderLocked(order)
	e.mu.Unlock()
	if apiErr != nil {
		apiErr.write(w)
		return
	}
	e.load.Refresh()
	status := http.StatusOK
	if response.State == "loading" {
		status = http.StatusAccepted
	}
	standin.WriteJSON(w, status, response)
}

// validate returns a description of what is wrong with the order, or "" if it is
// valid.
func (o *Order) validate() string {
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

// executeOrderLocked executes an order unless its fencing token is stale.
func (e *Engine) executeOrderLocked(order Order) (orderResponse, *apiError) {
	staleFence := &apiError{http.StatusConflict, "stale_fence", "the fencing number is older than one that was seen"}
	response := orderResponse{State: "done"}
	switch order.Kind {
	case OrderCancel:
		s := e.calls[order.Call]
		if s != nil && e.settings.ChecksFence && order.Fence < s.fence {
			return response, staleFence
		}
		if s != nil {
			e.cancelLocked(s)
		}
	case OrderRelease:
		if !e.acceptFenceLocked(programFenceKey(order.Program), order.Fence) {
			return response, staleFence
		}
		response.FreedTokens = e.cache.release(order.Program)
	default:
		if !e.acceptFenceLocked("replica", order.Fence) {
			return response, staleFence
		}
		response.State = e.executeReplicaOrderLocked(order)
	}
	e.orders = append(e.orders, order)
	return response, nil
}

// executeReplicaOrderLocked executes an order that affects the whole replica.
func (e *Engine) executeReplicaOrderLocked(order Order) (state string) {
	if order.Kind == OrderRole {
		e.role = order.Role
		return "done"
	}
	return e.loadModelLocked(order.modelName())
}

// programFenceKey returns the key under which the fencing tokens of a program's
// calls and orders are compared, or "" if program is 0.
func programFenceKey(program uint64) string {
	if program == 0 {
		return ""
	}
	return "program " + strconv.FormatUint(program, 10)
}

// acceptFenceLocked reports whether a fencing token is at least as high as the
// highest one seen for key, and records it if so. An engine that does not check
// fencing tokens accepts all of them.
func (e *Engine) acceptFenceLocked(key string, fence uint64) bool {
	if !e.settings.ChecksFence || key == "" {
		return true
	}
	if fence < e.fences[key] {
		return false
	}
	e.fences[key] = fence
	return true
}
