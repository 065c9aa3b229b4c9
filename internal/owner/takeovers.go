package owner

import (
	"maps"
	"sync"
	"time"

	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// takeoverWait is how long a new owner waits for the calls that were queued at its
// predecessor. A host may be in an attempt at the predecessor for up to attemptTimeout,
// and calls the new owner one retryInterval later.
const takeoverWait = attemptTimeout + 4*retryInterval

// takeovers records which programs had a running call when this host became their
// owner. Further calls of such a program may have been queued at the predecessor. To
// keep their order, none begins until takeoverWait has passed, by which time all of
// them have reached this owner. It is safe for concurrent use.
type takeovers struct {
	mu         sync.Mutex
	partitions map[partition.ID]takeover
}

// takeover is the state of one partition at the time this host became its owner.
type takeover struct {
	until   time.Time
	running map[program.Key]structs.CallID
}

func newTakeovers() *takeovers {
	return &takeovers{partitions: make(map[partition.ID]takeover)}
}

// begin records that this host became the owner of a partition.
func (t *takeovers) begin(id partition.ID, running map[program.Key]structs.CallID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(running) == 0 {
		// Keep an earlier entry: calls may still be on their way from the predecessor
		// in the last view.
		return
	}
	if previous, ok := t.partitions[id]; ok && now.Before(previous.until) {
		maps.Copy(previous.running, running)
		running = previous.running
	}
	t.partitions[id] = takeover{until: now.Add(takeoverWait), running: running}
}

// remainingWait returns how long a call of a program must still wait. The call that was
// running is a retry and need not wait.
func (t *takeovers) remainingWait(key program.Key, call structs.CallID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.partitions[PartitionOfProgram(key)]
	running, ok := current.running[key]
	if !ok || running == call {
		return 0
	}
	return max(0, current.until.Sub(now))
}

// prune removes the takeovers whose wait is over.
func (t *takeovers) prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, current := range t.partitions {
		if now.After(current.until) {
			delete(t.partitions, id)
		}
	}
}
