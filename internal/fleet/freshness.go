package fleet

import "time"

// FreshFor is how old a host's knowledge of the log may be while it is current.
const FreshFor = 3 * time.Second

// Freshness is what a host knows about the age of its records at one moment.
type Freshness struct {
	// Member means that this host is in the view as it knows it.
	Member bool
	// Read is the time since this host read the log to its end.
	Read time.Duration
	// Peers are the latest reports of other hosts.
	Peers []PeerKnowledge
	// Others are the other hosts of the view.
	Others []HostKnowledge
}

// PeerKnowledge is a peer's report on its records.
type PeerKnowledge struct {
	// Known is the time since the moment up to which the peer's records are complete.
	Known time.Duration
	// Included means that this host has all of the peer's records.
	Included bool
}

// HostKnowledge is what this host knows of another host of the view.
type HostKnowledge struct {
	// Heard is the time since the host was heard, directly or through others.
	Heard time.Duration
	// LogDown means that the host reported then that it cannot reach the log.
	LogDown bool
}

// Known is the time since the newest moment up to which this host's records are
// known to be complete.
func (f Freshness) Known() time.Duration {
	known := f.Read
	for _, peer := range f.Peers {
		if peer.Included {
			known = min(known, peer.Known)
		}
	}
	return known
}

// Current reports whether the host is current by the rules (a), (b) and (c) of
// docs/design.md, section 5.6. For (c), a host that has peers must have heard from
// at least one of them: in a fleet of two, the one silent host would otherwise be
// all of the others. A host that has not joined yet knows nothing of the others.
func (f Freshness) Current() bool {
	return f.Known() <= FreshFor || (f.Member && f.outage())
}

// outage is rule (c): nobody can reach the log.
func (f Freshness) outage() bool {
	silent, heard := 0, 0
	for _, host := range f.Others {
		switch {
		case host.Heard > FreshFor:
			silent++
		case !host.LogDown:
			return false
		default:
			heard++
		}
	}
	return silent <= 1 && (heard > 0 || len(f.Others) == 0)
}
