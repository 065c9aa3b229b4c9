package turns

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/storelog"
)

// Partitions is the number of partitions of all programs. A home's failure moves one
// of them, and one append at a time is under way in each.
const Partitions = 64

// expirySlack is added to a turn's retention: the clocks of hosts differ by seconds.
const expirySlack = 15 * time.Second

// partition is the state of one partition at this host. Lock order: loading, mu.
type partition struct {
	id int
	// writer names this home in records.
	writer int64
	where  storelog.Partition

	// loading serializes reads of the store into this partition.
	loading sync.Mutex

	mu sync.Mutex
	// loadEnd is closed at the end of the load under way; nil if there is none.
	loadEnd chan struct{}
	// loaded says that turns hold all records up to end.
	loaded bool
	end    int64
	// verified is when the store last confirmed that the partition ends at end.
	verified time.Time
	turns    map[string]*Turn
	programs map[programKey]*program
	// unsaved changes are appended in their order.
	unsaved []*change
	writing bool
	// troubled is when appends began to fail; zero while they succeed.
	troubled time.Time
}

func newPartition(id, partsPerTopic int, writer int64) *partition {
	return &partition{id: id, writer: writer, where: partitionName(id, partsPerTopic),
		turns: make(map[string]*Turn), programs: make(map[programKey]*program)}
}

// applyRecord merges a record of the store. It reports false for an invalid one.
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
	delete(g.open, t.ID)
	if t.Writer == p.writer {
		p.noteOwnLocked(&t)
	} else {
		g.foreignRecord(r.Offset, p.writer, &t)
	}
	return true
}

// verifiedWithin reports whether the store confirmed the state in the last d.
func (p *partition) verifiedWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.verified) < d
}

// programLocked returns the program of a turn.
func (p *partition) programLocked(t *Turn) *program {
	key := programKey{t.Account, t.Program}
	g := p.programs[key]
	if g == nil {
		g = newProgram()
		p.programs[key] = g
	}
	return g
}

// mergeLocked enters a turn unless a later state of it is known.
func (p *partition) mergeLocked(t *Turn) {
	old := p.turns[t.ID]
	if old != nil && (old.State > t.State || (old.State == Ended && t.State == Ended)) {
		return
	}
	g := p.programLocked(t)
	if _, ahead := g.open[t.ID]; ahead {
		// Until the store has the turn, its tokens count against the preallocation.
		g.open[t.ID] = t.Tokens
	}
	if old != nil {
		g.tokens -= old.Tokens
	}
	p.turns[t.ID] = t
	g.turns[t.ID] = struct{}{}
	g.tokens += t.Tokens
	g.expiry = max(g.expiry, t.Expiry)
}

// removeLocked drops a turn.
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

// chainLocked returns what an engine is to read of a turn and all before it, or false
// if a turn of the chain is missing.
func (p *partition) chainLocked(t *Turn) ([]byte, bool) {
	var line []*Turn
	size := 0
	for {
		line = append(line, t)
		size += len(t.Input) + len(t.Output)
		if t.Parent == "" {
			break
		}
		parent := p.turns[t.Parent]
		if parent == nil || parent.State != Ended || len(line) > len(p.turns) {
			return nil, false
		}
		t = parent
	}
	chain := make([]byte, 0, size)
	for i := len(line) - 1; i >= 0; i-- {
		chain = append(append(chain, line[i].Input...), line[i].Output...)
	}
	return chain, true
}

// troubledForLocked reports whether appends have failed for at least d.
func (p *partition) troubledForLocked(d time.Duration) bool {
	return !p.troubled.IsZero() && time.Since(p.troubled) >= d
}

// locate looks for a whole turn of an account.
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
	chain, whole := p.chainLocked(t)
	if !whole {
		return LocateReply{Outcome: Unavailable}
	}
	return LocateReply{Outcome: Located, Chain: chain, Replica: t.Replica}
}

// expiredLocked returns the turns of programs that are kept no longer, limit at most.
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
