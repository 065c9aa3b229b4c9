package turns

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/storelog"
)

// Partitions is the number of partitions over which all programs are spread. Ownership
// moves by partition when a host fails, and each partition has one append in flight at a
// time.
const Partitions = 64

// expirySlack is added to a turn's retention, since the clocks of hosts differ by seconds.
const expirySlack = 15 * time.Second

// partition is the state of one partition at this host. Lock order: loadMu, mu.
type partition struct {
	id int
	// writer identifies this owner in records.
	writer       int64
	logPartition storelog.Partition

	// loadMu serializes reads of the store into this partition.
	loadMu sync.Mutex

	mu sync.Mutex
	// loadDone is closed when the load in progress ends; nil if none is in progress.
	loadDone chan struct{}
	// loaded is set when turns contains all records up to offset end.
	loaded bool
	end    int64
	// verifiedAt is when the store last confirmed that the partition ends at end.
	verifiedAt time.Time
	turns      map[string]*Turn
	programs   map[programKey]*program
	// pending changes are appended in order.
	pending []*change
	writing bool
	// failingSince is when appends started to fail; zero while they succeed.
	failingSince time.Time
}

func newPartition(id, partsPerTopic int, writer int64) *partition {
	return &partition{id: id, writer: writer, logPartition: partitionName(id, partsPerTopic),
		turns: make(map[string]*Turn), programs: make(map[programKey]*program)}
}

// applyRecord merges a record read from the store. It reports false if the record is
// invalid.
func (p *partition) applyRecord(r storelog.Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(r.Value) == 0 {
		p.removeLocked(r.Key)
		return true
	}
	var t Turn
	if err := cbor.Unmarshal(r.Value, &t); err != nil || t.ID != r.Key {
		return false
	}
	p.mergeLocked(&t)
	g := p.programLocked(&t)
	delete(g.unrecorded, t.ID)
	if t.Writer == p.writer {
		p.markReadBackLocked(&t)
	} else {
		g.applyForeignRecord(r.Offset, p.writer, &t)
	}
	return true
}

// verifiedWithin reports whether the store confirmed the state within the last d.
func (p *partition) verifiedWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.verifiedAt) < d
}

// programLocked returns the program of a turn, and creates it if needed.
func (p *partition) programLocked(t *Turn) *program {
	key := programKey{t.Account, t.Program}
	g := p.programs[key]
	if g == nil {
		g = newProgram()
		p.programs[key] = g
	}
	return g
}

// mergeLocked adds or updates a turn unless a later state of it is present.
func (p *partition) mergeLocked(t *Turn) {
	old := p.turns[t.ID]
	if old != nil && (old.State > t.State || (old.State == Ended && t.State == Ended)) {
		return
	}
	g := p.programLocked(t)
	g.recordReplica(t)
	if _, unrecorded := g.unrecorded[t.ID]; unrecorded {
		// Until the turn is stored, its tokens count against the preallocation.
		g.unrecorded[t.ID] = t.Tokens
	}
	if old != nil {
		g.tokens -= old.Tokens
	}
	p.turns[t.ID] = t
	g.turns[t.ID] = struct{}{}
	g.tokens += t.Tokens
	g.expiry = max(g.expiry, t.Expiry)
}

// removeLocked deletes a turn from memory.
func (p *partition) removeLocked(id string) {
	t := p.turns[id]
	if t == nil {
		return
	}
	delete(p.turns, id)
	key := programKey{t.Account, t.Program}
	g := p.programs[key]
	delete(g.turns, id)
	g.tokens -= t.Tokens
	if len(g.turns) == 0 {
		delete(p.programs, key)
	}
}

// chainLocked returns the history that an engine reads of a turn and all its ancestors, or
// false if a turn of the chain is missing.
func (p *partition) chainLocked(t *Turn) ([]byte, bool) {
	var path []*Turn
	size := 0
	for {
		path = append(path, t)
		size += len(t.Input) + len(t.Output)
		if t.Parent == "" {
			break
		}
		parent := p.turns[t.Parent]
		if parent == nil || parent.State != Ended || len(path) > len(p.turns) {
			return nil, false
		}
		t = parent
	}
	chain := make([]byte, 0, size)
	for i := len(path) - 1; i >= 0; i-- {
		chain = append(append(chain, path[i].Input...), path[i].Output...)
	}
	return chain, true
}

// failingForLocked reports whether appends have failed for at least d.
func (p *partition) failingForLocked(d time.Duration) bool {
	return !p.failingSince.IsZero() && time.Since(p.failingSince) >= d
}

// locate looks up an ended turn of an account and its history.
func (p *partition) locate(args LocateArgs) LocateReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.turns[args.Turn]
	if t == nil || t.State != Ended {
		return LocateReply{Outcome: UnknownParent}
	}
	if t.Account != args.Account {
		return LocateReply{Outcome: ForeignParent}
	}
	chain, complete := p.chainLocked(t)
	if !complete {
		return LocateReply{Outcome: Unavailable}
	}
	return LocateReply{Outcome: Located, Chain: chain, Replica: t.Replica}
}

// expiredLocked returns the turns of programs whose retention has ended. It stops after the
// program with which limit is reached.
func (p *partition) expiredLocked(now time.Time, limit int) []string {
	var ids []string
	for _, g := range p.programs {
		if time.UnixMilli(g.expiry).Add(expirySlack).After(now) {
			continue
		}
		for id := range g.turns {
			ids = append(ids, id)
		}
		if len(ids) >= limit {
			break
		}
	}
	return ids
}
