package fleet

import "time"

// FreshnessLimit is how old a host's copy of the log may be while the host counts as
// current.
const FreshnessLimit = 3 * time.Second

// Freshness is the information by which a host decides at one moment whether its copy
// of the log is current.
type Freshness struct {
	// InView is set if this host is in its own view of the fleet.
	InView bool
	// ReadAge is the time since this host last read the log to its end.
	ReadAge time.Duration
	// Peers holds the newest report of each peer on its records.
	Peers []PeerFreshness
	// Others holds the liveness of the other hosts in the view.
	Others []HostLiveness
}

// PeerFreshness is a peer's report on its own records.
type PeerFreshness struct {
	// Age is the time since the latest moment at which the peer's records were complete.
	Age time.Duration
	// Included is set if this host has all of the peer's records.
	Included bool
}

// HostLiveness is the last report on another host of the view.
type HostLiveness struct {
	// SilentFor is the time since the last sign of life of the host, received directly or
	// through other hosts.
	SilentFor time.Duration
	// LogDown is set if the host last reported that it cannot reach the log.
	LogDown bool
}

// RecordAge returns the time since the latest moment at which this host's records were
// complete, according to its own reads or to a peer whose records it has.
func (f Freshness) RecordAge() time.Duration {
	age := f.ReadAge
	for _, peer := range f.Peers {
		if peer.Included {
			age = min(age, peer.Age)
		}
	}
	return age
}

// Current reports whether the host is current by rules (a), (b) and (c) of
// docs/design.md, section 5.6. Rule (c), a log outage, additionally requires a sign of
// life from at least one other host if there are any: it tolerates one silent host, and
// in a fleet of two that one is the only peer. Rule (c) does not apply to a host that
// has not joined yet, because it has no information about other hosts.
func (f Freshness) Current() bool {
	return f.RecordAge() <= FreshnessLimit || (f.InView && f.isLogOutage())
}

// isLogOutage implements rule (c): no host can reach the log.
func (f Freshness) isLogOutage() bool {
	silent, heard := 0, 0
	for _, host := range f.Others {
		switch {
		case host.SilentFor > FreshnessLimit:
			silent++
		case !host.LogDown:
			return false
		default:
			heard++
		}
	}
	return silent <= 1 && (heard > 0 || len(f.Others) == 0)
}
