package relay

import "cowslipgw/internal/peers"

// Hosts selects the hosts that can pass requests on. peers.Table implements it.
type Hosts interface {
	// Relays returns up to limit hosts that reach replicas in the given failure domain.
	Relays(domain string, limit int) []peers.Host
}
