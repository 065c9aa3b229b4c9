package owner

import (
	"maps"
	"sync"
	"time"

	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// takeoverWait is how long a new owner waits for the calls that waited at its
// predecessor. A host may be within an attempt at the predecessor until attemptLimit
// is over, and asks the new owner after one pause.
const takeoverWait = attemptLimit + 4*retryPause

// takeovers remembers which programs had a running call when this host became their
// owner. Further calls of such a program may have waited at the predecessor; none
// begins until all of them have asked here, so that they keep their order. It is safe
// for concurrent use.
type takeovers struct {
	mu         sync.Mutex
	partitions map[partition.ID]takeover
}

// takeover is the state of one partition when this host became its owner.
type takeover struct {
	until   time.Time
	running map[program.Key]structs.CallID
}

func newTakeovers() *takeovers {
	return &takeovers{partitions: make(map[partition.ID]takeover)}
}

// begin notes that this host became the owner of a partition.
func (t *takeovers) begin(id partition.ID, running map[program.Key]structs.CallID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(running) == 0 {
		// Calls may still be on their way from the predecessor of the last view.
		return
	}
	if before, held := t.partitions[id]; held && now.Before(before.until) {
		maps.Copy(before.running, running)
		running = before.running
	}
	t.partitions[id] = takeover{until: now.Add(takeoverWait), running: running}
}

// left returns how long a call of a program must wait. The call that was running is a
// retry and need not.
func (t *takeovers) left(key program.Key, call structs.CallID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.partitions[PartitionOfProgram(key)]
	running, held := taken.running[key]
	if !held || running == call {
		return 0
	}
	return max(0, taken.until.Sub(now))
}

// drop forgets what is over.
func (t *takeovers) drop(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, taken := range t.partitions {
		if now.After(taken.until) {
			delete(t.partitions, id)
		}
	}
}
