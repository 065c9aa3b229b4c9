package program

import "time"

// Limits bound what one partition keeps. Only the owner's decisions depend on them,
// so hosts with different limits still agree.
type Limits struct {
	// Retention is how long a claim is kept after it was closed.
	Retention time.Duration
	// Hold is how long a program keeps engine memory without a call.
	Hold time.Duration
	// Idle is how long a program lives without a call; its history goes with it.
	Idle time.Duration
	// MaxClaims limits the claims. At the limit new claims are refused unrun: to drop
	// a claim early could run its request twice.
	MaxClaims int
	// MaxAnswerBytes limits the stored answers. At the limit the oldest are dropped; a
	// retry then learns that the request was run, without its answer.
	MaxAnswerBytes int
}

// DefaultLimits allow 340 keyed requests a second over the fleet's 4,096 partitions
// for 24 h, and about 1 GiB of answers on each of 12 hosts with 1,024 copies each.
var DefaultLimits = Limits{
	Retention:      24 * time.Hour,
	Hold:           10 * time.Minute,
	Idle:           72 * time.Hour,
	MaxClaims:      7_200,
	MaxAnswerBytes: 1 << 20,
}

const (
	// DispatchWindow is how long after Begin an entry host may still send the call, and
	// how long the next call waits after its host was evicted.
	DispatchWindow = 2 * time.Second
	// maxHolders limits the replicas remembered for one program.
	maxHolders = 8
	// maxReleases limits pending releases for one replica. Engine memory that is
	// forgotten here is found in the replica's report.
	maxReleases = 4_096
	// expireBatch limits one expire operation, so that it does not block the partition.
	expireBatch = 256
	// counterBits of a program number count within the partition. The upper 24 of them
	// start at the view number after copies were lost, so that numbers stay unique.
	counterBits = 52
	epochBits   = 28
	// messageOverhead bounds the tokens that a chat template adds to one message.
	messageOverhead = 16
)
