package program

import "time"

// Limits bound the state that one partition keeps. Only the owner's decisions depend on
// them, so replicas on hosts with different limits still agree.
type Limits struct {
	// Retention is how long a claim is kept after it was closed.
	Retention time.Duration
	// MemoryHold is how long a program without a call keeps its engine memory.
	MemoryHold time.Duration
	// Idle is how long a program without a call is kept, including its history.
	Idle time.Duration
	// MaxClaims is the maximum number of claims. At the limit, requests with new claims
	// are rejected without running, because dropping a claim early could run its
	// request twice.
	MaxClaims int
	// MaxAnswerBytes limits the stored answers. At the limit, the oldest answers are
	// dropped; a retry then learns that the request was run but does not get its
	// answer.
	MaxAnswerBytes int
}

// DefaultLimits allow 340 requests a second with idempotency keys over the fleet's
// 4,096 partitions for 24 h, and about 1 GiB of answers on each of 12 hosts with 1,024
// copies each.
var DefaultLimits = Limits{
	Retention:      24 * time.Hour,
	MemoryHold:     10 * time.Minute,
	Idle:           72 * time.Hour,
	MaxClaims:      7_200,
	MaxAnswerBytes: 1 << 20,
}

const (
	// DispatchWindow is how long after Begin an entry host may still send the call, and
	// how long the next call waits after that host was evicted.
	DispatchWindow = 2 * time.Second
	// maxHolders is the maximum number of replicas recorded per program.
	maxHolders = 8
	// maxReleases is the maximum number of pending releases per replica. Engine memory
	// whose release is dropped at the limit is found through the replica's report.
	maxReleases = 4_096
	// expireBatch limits one expire operation, so that it does not block the partition.
	expireBatch = 256
	// counterBits is the number of bits of a program number that count within the
	// partition; the bits above them are the partition's ID. After a loss of copies the
	// upper 24 of them, above epochBits, start at the view number, so that numbers stay
	// unique.
	counterBits = 52
	epochBits   = 28
	// messageOverhead is an upper bound of the tokens that a chat template adds to one
	// message.
	messageOverhead = 16
)
