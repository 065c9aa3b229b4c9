package quota

import "cowslipgw/internal/peers"

// Grant is a request that was taken off a client account's quota.
type Grant struct {
	args TakeArgs
	// by is the host that admitted the request, owner whether it did so as the owner of
	// the bucket.
	by    peers.Host
	owner bool
}
