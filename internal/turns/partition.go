package turns

import (
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/storelog"
)

// Partitions is the number of partitions over which all programs are spread. Ownership
// moves by partition when a host fails, and each partition has one append in flight at a
// time.
const Partitions = 64

const (
	// expirySlack is added to a turn's retention, since the clocks of hosts differ by seconds.
	// After that, the turn cannot be continued any more.
	expirySlack = 15 * time.Second
	// removalDelay is the time from the end of expirySlack to the removal of a turn. A turn that
	// was begun just before must be stored by then, which keeps its ancestors.
	removalDelay = 10 * time.Second
)

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
	// loaded is set when turns contains all records up to offset end. It stays set while changes
	// are pending.
	loaded bool
	end    int64
	// ownedAt is when this host was last found to be the partition's first candidate.
	ownedAt time.Time
	// verifiedAt is when the store last confirmed that the partition ends at end.
	verifiedAt time.Time
	turns      map[string]*Turn
	programs   map[programKey]*program
	// pending changes are appended in order.
	pending []*change
	writing bool
	// draining is set when the host drains; records then preallocate nothing.
	draining bool
	// idleCheck is the timer of the next check for programs that pause; nil without one.
	idleCheck *time.Timer
	// deferral is the timer that starts a write of the deferred changes; nil if there are none.
	deferral *time.Timer
	// failingSince is when appends started to fail; zero while they succeed.
	failingSince time.Time
	// singles is the number of following appends that contain only one change, because the
	// store rejected one of several.
	singles int
	// contents holds the contents of the turns of all partitions.
	contents *contentCache
}

func newPartition(id, partsPerTopic int, writer int64, contents *contentCache) *partition {
	return &partition{id: id, writer: writer, logPartition: partitionName(id, partsPerTopic), contents: contents,
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
	t.offset = r.Offset
	p.mergeLocked(&t)
	g := p.programLocked(&t)
	_, granted := g.unrecorded[t.ID]
	delete(g.unrecorded, t.ID)
	if t.Writer == p.writer {
		p.markReadBackLocked(&t)
	} else {
		p.markRecordedElsewhereLocked(t.ID)
		if granted {
			// The other owner counts as much less of the preallocation.
			g.endPreallocation()
		}
	}
	// A partition that is loaded again may have no later record of another owner than those
	// that this one repeated in its own.
	if t.Writer != p.writer || !p.loaded {
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

// mergeLocked adds or updates a turn unless a later state of it is present. Its contents move
// to the cache.
func (p *partition) mergeLocked(t *Turn) {
	old := p.turns[t.ID]
	if old != nil && (old.State > t.State || (old.State == Ended && t.State == Ended)) {
		if old.State == t.State && old.offset < 0 {
			old.offset = t.offset
		}
		return
	}
	contents := content{t.Input, t.Output}
	t.size, t.Input, t.Output = contents.size(), nil, nil
	p.contents.put(contentKey{p.id, t.ID}, contents)
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
	p.contents.remove(contentKey{p.id, id})
	key := programKey{t.Account, t.Program}
	g := p.programs[key]
	delete(g.turns, id)
	g.tokens -= t.Tokens
	if len(g.turns) == 0 && len(g.unrecorded) == 0 {
		delete(p.programs, key)
	}
}

// failingForLocked reports whether appends have failed for at least d.
func (p *partition) failingForLocked(d time.Duration) bool {
	return !p.failingSince.IsZero() && time.Since(p.failingSince) >= d
}

// locate looks up a turn of an account that can be continued, and its history. Loaded reports
// whether the partition has its turns in memory.
func (p *partition) locate(account, turn string) (found LocateReply, history path, loaded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.turns[turn]
	switch {
	case t == nil || !p.canContinueLocked(t):
		return LocateReply{Outcome: UnknownParent}, nil, p.loaded
	case t.Account != account:
		return LocateReply{Outcome: ForeignParent}, nil, p.loaded
	}
	history, complete := p.pathLocked(t)
	switch {
	case !complete:
		return LocateReply{Outcome: Unavailable}, nil, p.loaded
	case history.size() > maxHistory:
		return LocateReply{Outcome: HistoryTooLong}, nil, p.loaded
	}
	return LocateReply{Outcome: Located, Replica: t.Replica, ChainBytes: history.size()}, history, p.loaded
}

// canContinueLocked reports whether a turn was answered completely and is retained long enough
// for another one that continues it.
func (p *partition) canContinueLocked(t *Turn) bool {
	g := p.programs[programKey{t.Account, t.Program}]
	return t.State == Ended && time.UnixMilli(g.expiry).Add(expirySlack).After(time.Now())
}

// expiredLocked returns the turns of programs whose retention has ended, except those that
// turns of other programs continue. It stops after the program with which limit is reached.
func (p *partition) expiredLocked(now time.Time, limit int) []string {
	var expired []*program
	for _, g := range p.programs {
		if g.isExpired(now) {
			expired = append(expired, g)
		}
	}
	if len(expired) == 0 {
		return nil
	}
	continued := p.continuedLocked(now)
	var ids []string
	for _, g := range expired {
		if continued[g] {
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

// continuedLocked returns the expired programs whose turns are ancestors of a turn of a program
// that has not expired. Hosts of earlier builds store such turns.
func (p *partition) continuedLocked(now time.Time) map[*program]bool {
	continued := make(map[*program]bool)
	visited := make(map[*Turn]bool)
	for _, t := range p.turns {
		if p.programs[programKey{t.Account, t.Program}].isExpired(now) {
			continue
		}
		for ancestor := p.turns[t.Parent]; ancestor != nil && !visited[ancestor]; ancestor = p.turns[ancestor.Parent] {
			visited[ancestor] = true
			if g := p.programs[programKey{ancestor.Account, ancestor.Program}]; g.isExpired(now) {
				continued[g] = true
			}
		}
	}
	return continued
}

// dropEmptyProgramsLocked drops the programs that have no turns, only grants without a record
// that are as old as an expired turn.
func (p *partition) dropEmptyProgramsLocked(now time.Time) {
	maps.DeleteFunc(p.programs, func(_ programKey, g *program) bool { return len(g.turns) == 0 && g.isExpired(now) })
}

// unloadLocked drops the turns from memory. What was granted without a record is kept, since
// the store does not have it.
func (p *partition) unloadLocked() {
	p.loaded = false
	for id := range p.turns {
		p.contents.remove(contentKey{p.id, id})
	}
	clear(p.turns)
	for key, g := range p.programs {
		if len(g.unrecorded) == 0 {
			delete(p.programs, key)
			continue
		}
		kept := newProgram()
		kept.unrecorded, kept.maxReservation, kept.budget, kept.expiry = g.unrecorded, g.maxReservation, g.budget, g.expiry
		p.programs[key] = kept
	}
}
