package turns

import "maps"

// exactTurns is the number of largest turns left in a budget below which each turn gets a
// record before it begins. The loss of a home then leaves nothing uncertain of the rest.
const exactTurns = 3

// programKey names a program of a client account.
type programKey struct{ account, program string }

// program sums up the turns of one program.
//
// A home may grant a preallocation of tokens without a record. Each record holds the
// preallocations of all homes that its writer knows, so the last record of a program holds
// all of them. Homes count the preallocations of others as used, since they cannot know what
// those have granted.
type program struct {
	turns map[string]struct{}
	// tokens are used or reserved by all records.
	tokens int
	// open are the tokens of turns that were granted without a record and that the store
	// does not have yet: reserved ones, and used ones of turns that have ended since.
	open map[string]int
	// ahead is the preallocation of this home by its last record.
	ahead int
	// foreign holds the preallocations of other homes by the last record of another home, which
	// has the offset foreignOffset.
	foreign       map[int64]int
	foreignOffset int64
	// askedAt is the foreignOffset at which the other homes were last asked for their
	// preallocations without need.
	askedAt int64
	// forgiven are the tokens of preallocations of homes that are gone which are no longer
	// counted. They are no more than one turn generates, by which a budget may be exceeded.
	forgiven int
	// largest is the largest reservation of a turn.
	largest int
	// budget is what the caller said last; 0 means no limit.
	budget int
	// expiry is the latest expiry of a turn; the turns of a program are dropped together.
	expiry int64
}

func newProgram() *program {
	return &program{turns: make(map[string]struct{}), open: make(map[string]int), foreignOffset: -1, askedAt: -1}
}

// granted sums up what was granted without a record.
func (g *program) granted() int { return sum(g.open) }

// inherited sums up what other homes may have granted without a record.
func (g *program) inherited() int { return sum(g.foreign) }

func sum[K comparable](tokens map[K]int) int {
	total := 0
	for _, n := range tokens {
		total += n
	}
	return total
}

// used returns the tokens that count against the budget.
func (g *program) used() int { return g.tokens + g.inherited() + g.granted() }

// grantAhead reserves a turn's tokens without a record, if this home may.
func (g *program) grantAhead(turn string, tokens int) bool {
	g.largest = max(g.largest, tokens)
	if g.granted()+tokens > g.ahead {
		return false
	}
	g.open[turn] = tokens
	return true
}

// nextAhead returns the preallocation of this home by a record that is written now: one largest
// turn more, so that the next turn of a line begins without an append. What the loss of one
// home leaves uncertain is then no more than may be forgiven. Until the record is saved, no
// more than before may be granted.
func (g *program) nextAhead() int {
	next := g.granted() + g.largest
	if g.budget > 0 && g.budget-g.used() < exactTurns*g.largest {
		next = g.granted()
	}
	g.ahead = min(g.ahead, next)
	return next
}

// forgive no longer counts the preallocation of a home that is gone, up to the most that one
// turn generates over the life of the program. It reports whether that changes anything.
func (g *program) forgive(writer int64, largest int) bool {
	tokens := min(g.foreign[writer], max(largest, g.largest)-g.forgiven)
	if tokens <= 0 {
		return false
	}
	g.foreign[writer] -= tokens
	g.forgiven += tokens
	return true
}

// preallocations returns what a record says that is written by a home with a preallocation.
func (g *program) preallocations(writer int64, ahead int) map[int64]int {
	all := make(map[int64]int, len(g.foreign)+1)
	maps.Copy(all, g.foreign)
	if ahead > 0 {
		all[writer] = ahead
	}
	return all
}

// foreignRecord takes over the preallocations of a record of another home.
func (g *program) foreignRecord(offset, self int64, t *Turn) {
	if offset < g.foreignOffset {
		return
	}
	g.foreignOffset = offset
	g.forgiven = t.Forgiven
	g.foreign = maps.Clone(t.Preallocations)
	delete(g.foreign, self)
}
