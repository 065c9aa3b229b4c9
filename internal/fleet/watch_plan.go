package fleet

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// watchPlan says whom this host watches and who watches it.
type watchPlan struct {
	// watched are the hosts that this host watches or suspects.
	watched map[structs.HostID]watchedHost
	// watchers are the hosts that receive this host's heartbeats.
	watchers []Host
}

// watchedHost is one host that this host watches or suspects.
type watchedHost struct {
	host  Host
	since time.Time
	// sends means that the host sends its heartbeats to this host.
	sends bool
	// suspected means that this host's suspicion is folded.
	suspected bool
}

// planWatch returns the plan for a state. A host that was watched before keeps its
// time.
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
		entry := watchedHost{host: host, since: now}
		entry.sends = slices.Contains(watchers, self)
		entry.suspected = state.Suspects(self, host.ID)
		if !entry.sends && !entry.suspected {
			continue
		}
		before, found := old.watched[host.ID]
		if found && before.sends && before.host.Incarnation == host.Incarnation {
			entry.since = before.since
		}
		plan.watched[host.ID] = entry
	}
	return plan
}
