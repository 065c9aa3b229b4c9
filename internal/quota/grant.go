package quota

import "cowslipgw/internal/peers"

// Grant is a request that was charged to a client account's quota, for a later refund.
type Grant struct {
	args TakeArgs
	// host admitted the request; owner reports whether it did so as the owner of the
	// bucket.
	host  peers.Host
	owner bool
}
