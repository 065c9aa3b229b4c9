package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"cowslipgw/internal/structs"
)

// retryAfter is the delay after which a refused call may be retried.
const retryAfter = time.Second

// noReplicaInTime refuses a call that has waited for the maximum time.
func noReplicaInTime(pool structs.PoolName, wait time.Duration) *structs.Problem {
	return refusal("no-replica-in-time", fmt.Sprintf("no replica of pool %s was free within %s", pool, wait))
}

// noReplica refuses a call that no replica of the pool can take.
func noReplica(pool structs.PoolName) *structs.Problem {
	return refusal("no-replica", fmt.Sprintf("pool %s has no live replica for this call", pool))
}

// queueFull refuses a call because a queue limit was reached.
func queueFull(pool structs.PoolName, waiting, ofAccount int) *structs.Problem {
	return refusal("queue-full",
		fmt.Sprintf("pool %s has %d calls waiting, %d of them of this account", pool, waiting, ofAccount))
}

// refusal returns the problem for a call that was not sent to a replica.
func refusal(code, detail string) *structs.Problem {
	return &structs.Problem{
		Code:       code,
		Status:     http.StatusServiceUnavailable,
		Detail:     detail,
		Run:        structs.RunNo,
		RetryAfter: retryAfter,
	}
}
