package fleet

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// watchPlan lists the hosts that this host watches and the hosts that watch it.
type watchPlan struct {
	// watched holds the hosts that this host watches or suspects.
	watched map[structs.HostID]watchedHost
	// watchers receive this host's heartbeats.
	watchers []Host
}

// watchedHost is one host that this host watches or suspects.
type watchedHost struct {
	host Host
	// watchedSince is when this host began to watch the host, or when the last pause of
	// this process ended. Silence counts from then on.
	watchedSince time.Time
	// sendsHeartbeats is set if the host sends its heartbeats to this one, because this one
	// is among its watchers.
	sendsHeartbeats bool
	// suspected is set if the state includes this host's suspicion of the host.
	suspected bool
}

// planWatch returns the plan for the given state and view. A host that the old plan
// already watched, with the same incarnation, keeps its watchedSince time.
func planWatch(state *State, view *View, self structs.HostID, old watchPlan, now time.Time) watchPlan {
	plan := watchPlan{watched: make(map[structs.HostID]watchedHost)}
	if view.Index(self) < 0 {
		return plan
	}
	for _, host := range view.Hosts {
		watchers, _ := Watchers(view.Hosts, host.ID, state.Suspected)
		if host.ID == self {
			for _, id := range watchers {
				watcher, _ := view.Find(id)
				plan.watchers = append(plan.watchers, watcher)
			}
			continue
		}
		entry := watchedHost{host: host, watchedSince: now}
		entry.sendsHeartbeats = slices.Contains(watchers, self)
		entry.suspected = state.Suspects(self, host.ID)
		if !entry.sendsHeartbeats && !entry.suspected {
			continue
		}
		previous, found := old.watched[host.ID]
		if found && previous.sendsHeartbeats && previous.host.Incarnation == host.Incarnation {
			entry.watchedSince = previous.watchedSince
		}
		plan.watched[host.ID] = entry
	}
	return plan
}
