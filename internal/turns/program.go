package turns

import (
	"maps"
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// turnsPerPreallocated is the number of largest turns that must remain in a budget for each
	// one that is preallocated. Below it, each turn gets a record before it begins, so that
	// the loss of an owner leaves nothing uncertain about the rest of the budget.
	turnsPerPreallocated = 3
	// maxPreallocated is the largest number of turns that are preallocated: sub-agents run
	// turns at the same time, and turns follow each other while the store is slow.
	maxPreallocated = 4
)

// programKey identifies a program of a client account.
type programKey struct{ account, program string }

// program aggregates the turns of one program.
//
// An owner may grant a preallocation of tokens without a record. Each record contains the
// preallocations of all owners known to its writer, so the last record of a program
// contains all of them. Owners count the preallocations of others as used, since they
// cannot tell what the others have granted.
type program struct {
	turns map[string]struct{}
	// tokens is the number of tokens used or reserved by all records.
	tokens int
	// unrecorded maps turns that were granted without a record and are not stored yet to
	// their tokens: reserved ones, and used ones of turns that have ended since.
	unrecorded map[string]int
	// preallocation is the number of tokens that this owner may grant without a further
	// record, by its last record.
	preallocation int
	// recorded is the same by the last record that is known to be stored.
	recorded int
	// activeAt is when this owner last granted or settled a turn of the program.
	activeAt time.Time
	// givingBack is set while a record that gives the preallocation back is waiting to be stored.
	givingBack bool
	// backup has copies of all that this owner has granted without a record; 0 if no host has. RecordedAt is when
	// the record that names it was stored, and sealedBackup a backup that refused a copy.
	backup       int64
	recordedAt   boottime.Instant
	sealedBackup int64
	// foreign holds the preallocations of other owners as of the last record of another
	// owner, which has the offset foreignOffset.
	foreign       map[int64]int
	foreignOffset int64
	// foreignBackups holds the backups of these owners.
	foreignBackups map[int64]int64
	// releaseOffset is the foreignOffset at which the other owners were last asked to
	// release their preallocations before the budget was exhausted.
	releaseOffset int64
	// released is set while another owner, which asked for the preallocation, grants the turns of
	// the program.
	released bool
	// forgiven is the number of tokens preallocated to terminated owners that are no longer
	// counted. It is at most what one turn generates, by which the budget may be exceeded.
	forgiven int
	// maxReservation is the largest reservation of a turn.
	maxReservation int
	// budget is the caller's most recent value; 0 means no limit.
	budget int
	// replica is the replica that ran the last settled turn, and sessionReplicas the same by
	// session for the turns that were settled at this owner.
	replica         string
	sessionReplicas map[string]string
	// expiry is the latest expiry of a turn; the turns of a program are removed together.
	expiry int64
}

func newProgram() *program {
	return &program{turns: make(map[string]struct{}), unrecorded: make(map[string]int),
		sessionReplicas: make(map[string]string), foreignOffset: -1, releaseOffset: -1}
}

// isExpired reports whether no turn of the program may be continued any more, and none that was
// begun can still be under way.
func (g *program) isExpired(now time.Time) bool {
	return !time.UnixMilli(g.expiry).Add(expirySlack + removalDelay).After(now)
}

// recordReplica records the replica that ran a settled turn.
func (g *program) recordReplica(t *Turn) {
	if t.State == Open || t.Replica == "" {
		return
	}
	g.replica = t.Replica
	if t.Session != "" {
		g.sessionReplicas[t.Session] = t.Replica
	}
}

// replicaOf returns the replica that may have a session's history cached, or that of the
// program from which the session branches off.
func (g *program) replicaOf(session string) string {
	if replica, known := g.sessionReplicas[session]; known {
		return replica
	}
	return g.replica
}

// unrecordedTokens returns the number of tokens granted without a record.
func (g *program) unrecordedTokens() int { return sum(g.unrecorded) }

// foreignTokens returns the number of tokens that other owners may have granted without a
// record.
func (g *program) foreignTokens() int { return sum(g.foreign) }

func sum[K comparable](tokens map[K]int) int {
	total := 0
	for _, n := range tokens {
		total += n
	}
	return total
}

// used returns the number of tokens that count against the budget.
func (g *program) used() int { return g.tokens + g.foreignTokens() + g.unrecordedTokens() }

// grantPreallocated reserves a turn's tokens without a record if the preallocation
// suffices.
func (g *program) grantPreallocated(turn string, tokens int) bool {
	g.maxReservation = max(g.maxReservation, tokens)
	if g.unrecordedTokens()+tokens > g.preallocation {
		return false
	}
	if g.backup != 0 && boottime.Since(g.recordedAt) > copyLease {
		return false
	}
	g.unrecorded[turn] = tokens
	return true
}

// nextPreallocation returns the preallocation for a record that is about to be written:
// several largest turns beyond what is granted, so that the next turns of a program begin
// without an append. It is a small part of what remains of the budget, since the loss of an
// owner leaves uncertain whether it was used. Until the record is stored, the current
// preallocation is not raised.
func (g *program) nextPreallocation() int {
	next := g.unrecordedTokens() + g.preallocatedTurns()*g.maxReservation
	g.preallocation = min(g.preallocation, next)
	return next
}

// lastPreallocation is nextPreallocation for an owner that shuts down: only the turns that it has
// granted without a record count, less those that are recorded along with it.
func (g *program) lastPreallocation(recorded int) int {
	next := max(g.unrecordedTokens()-recorded, 0)
	g.preallocation = min(g.preallocation, next)
	return next
}

// preallocatedTurns returns the number of largest turns that a record written now preallocates.
func (g *program) preallocatedTurns() int {
	if g.budget <= 0 || g.maxReservation <= 0 {
		return maxPreallocated
	}
	return min(maxPreallocated, max(g.budget-g.used(), 0)/g.maxReservation/turnsPerPreallocated)
}

// needsRecord reports whether the preallocation does not suffice for a largest turn, and would
// after a record that is written now.
func (g *program) needsRecord() bool {
	spare := g.preallocation - g.unrecordedTokens()
	return spare < g.maxReservation && g.preallocatedTurns() > 0
}

// forgive stops counting the preallocation of a terminated owner. Over the lifetime of the
// program, it forgives at most the tokens of one turn in total. It reports whether that
// changes anything.
func (g *program) forgive(writer int64, maxTokens int) bool {
	tokens := min(g.foreign[writer], max(maxTokens, g.maxReservation)-g.forgiven)
	if tokens <= 0 {
		return false
	}
	g.foreign[writer] -= tokens
	g.forgiven += tokens
	return true
}

// preallocations returns the preallocations for a record of writer, including its own.
func (g *program) preallocations(writer int64, own int) map[int64]int {
	all := make(map[int64]int, len(g.foreign)+1)
	maps.Copy(all, g.foreign)
	if own > 0 {
		all[writer] = own
	}
	return all
}

// backups returns the backups for a record of writer, including its own, of the owners with a preallocation.
func (g *program) backups(writer, own int64, preallocations map[int64]int) map[int64]int64 {
	all := make(map[int64]int64, len(preallocations))
	for owner := range preallocations {
		backup := g.foreignBackups[owner]
		if owner == writer {
			backup = own
		}
		if backup != 0 {
			all[owner] = backup
		}
	}
	return all
}

// applyForeignRecord adopts the preallocations in a record of another owner.
func (g *program) applyForeignRecord(offset, self int64, t *Turn) {
	if offset < g.foreignOffset {
		return
	}
	g.foreignOffset = offset
	g.forgiven = t.Forgiven
	g.foreign, g.foreignBackups = maps.Clone(t.Preallocations), maps.Clone(t.Backups)
	delete(g.foreign, self)
	delete(g.foreignBackups, self)
}

// endPreallocation ends the preallocation of this owner but for what it has granted.
func (g *program) endPreallocation() {
	g.preallocation = min(g.preallocation, g.unrecordedTokens())
	g.recorded = min(g.recorded, g.preallocation)
}
