package dispatch

import (
	"math/rand/v2"
	"slices"

	"cowslipgw/internal/event"
	"cowslipgw/internal/upstream"
)

// chooseLocally picks a replica without a dispatcher: the less loaded of two
// random live ones, by the last report and this host's own calls in flight.
func (c *Client) chooseLocally(request Request) (Slot, error) {
	live := c.liveReplicas(request)
	if len(live) == 0 {
		return Slot{}, noReplica(request.Pool)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	first := live[rand.IntN(len(live))]
	second := live[rand.IntN(len(live))]
	if c.loadLocked(second) < c.loadLocked(first) {
		first = second
	}
	c.inFlight[request.Call] = Running{Request: request, Replica: first.ID}
	c.options.Log.Log(event.DispatcherSilent, event.Fields{"pool": request.Pool, "call": request.Call, "replica": first.ID})
	return Slot{
		Pool: request.Pool, Replica: first.ID, Address: first.Address,
		Dispatcher: c.options.Origin().Host, Call: request.Call,
	}, nil
}

// liveReplicas returns the replicas that may take the call.
func (c *Client) liveReplicas(request Request) []upstream.Replica {
	var live []upstream.Replica
	for _, replica := range c.options.Directory.Replicas(request.Pool) {
		load, reported := c.options.Directory.Load(replica.ID)
		if replica.State == stateLeaving || (reported && load.Leaving) || slices.Contains(request.Exclude, replica.ID) {
			continue
		}
		if reported && request.Model != "" && load.Models != nil && !slices.Contains(load.Models, request.Model) {
			continue
		}
		live = append(live, replica)
	}
	return live
}

// loadLocked is the last reported load plus this host's own calls in flight.
func (c *Client) loadLocked(replica upstream.Replica) int {
	load, _ := c.options.Directory.Load(replica.ID)
	total := load.Running + load.Queued
	for _, running := range c.inFlight {
		if running.Replica == replica.ID {
			total++
		}
	}
	return total
}
