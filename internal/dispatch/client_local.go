package dispatch

import (
	"math/rand/v2"
	"slices"

	"cowslipgw/internal/event"
	"cowslipgw/internal/upstream"
)

// chooseLocally picks a replica without a dispatcher. It takes the replica with the
// program's cache if that has a free slot, and otherwise the less loaded of two
// random live replicas, according to the last load reports and this host's own calls
// in flight.
func (c *Client) chooseLocally(request Request) (Slot, error) {
	live := c.liveReplicas(request)
	if len(live) == 0 {
		return Slot{}, noReplica(request.Pool)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen, ok := c.holderWithRoomLocked(request, live)
	if !ok {
		chosen = c.lessLoadedLocked(live[rand.IntN(len(live))], live[rand.IntN(len(live))])
	}
	c.inFlight[request.Call] = Running{Request: request, Replica: chosen.ID}
	c.options.Log.Log(event.DispatcherUnreachable, event.Fields{"pool": request.Pool, "call": request.Call, "replica": chosen.ID})
	return Slot{
		Pool: request.Pool, Replica: chosen.ID, Address: chosen.Address,
		Dispatcher: c.options.Origin().Host, Call: request.Call,
	}, nil
}

// holderWithRoomLocked returns the most recent holder of the program's cache if it
// is live and has a free slot. A replica whose slots are unknown counts as having
// one.
func (c *Client) holderWithRoomLocked(request Request, live []upstream.Replica) (upstream.Replica, bool) {
	if len(request.Holders) == 0 {
		return upstream.Replica{}, false
	}
	for _, replica := range live {
		if replica.ID != request.Holders[0] {
			continue
		}
		load, _ := c.options.Directory.Load(replica.ID)
		return replica, load.Slots == 0 || c.loadLocked(replica) < load.Slots
	}
	return upstream.Replica{}, false
}

func (c *Client) lessLoadedLocked(a, b upstream.Replica) upstream.Replica {
	if c.loadLocked(b) < c.loadLocked(a) {
		return b
	}
	return a
}

// liveReplicas returns the replicas that can take the call.
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

// loadLocked returns the last reported load plus this host's own calls in flight.
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
