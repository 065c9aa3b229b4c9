package gateway

import (
	"cowslipgw/internal/peers"
	"cowslipgw/internal/route"
)

// homes returns the restrictions of the request to regions.
func (x *exchange) homes() route.Homes { return route.HomesOf(x.route, x.account) }

// mayPassOn returns a function that reports whether the request may be passed on to another host: one
// in its homes, or in the region of this host, which the caller has chosen. It returns nil if all
// hosts may have it.
func (x *exchange) mayPassOn() func(h peers.Host) bool {
	homes := x.homes()
	if len(homes) == 0 {
		return nil
	}
	replicas := x.g.replicas
	return func(h peers.Host) bool {
		region := replicas.Region(h.Domain)
		return homes.Allow(region) || (region != "" && region == replicas.OwnRegion())
	}
}
