package turns

// aheadShare of the largest turn of a program is reserved ahead: the next turn of a line
// then begins without an append.
const aheadShare = 1.5

// programKey names a program of a client account.
type programKey struct{ account, program string }

// program sums up the turns of one program.
//
// Each record of the program says how many tokens its home may grant ahead. A home that
// takes over counts them as used, since it cannot know what the home before it granted.
type program struct {
	turns map[string]struct{}
	// tokens are used or reserved by all records.
	tokens int
	// open are the reservations of turns that this home granted ahead.
	open map[string]int
	// ahead is what this home may grant ahead by its last record, written is what that
	// record says, and inherited is what other homes may have granted.
	ahead     int
	written   int
	inherited int
	// foreign is the offset of the last record of another home that was counted, and
	// writer names that home.
	foreign int64
	writer  int64
	// largest is the largest reservation of a turn.
	largest int
	// budget is what the caller said last; 0 means no limit.
	budget int
	// expiry is the latest expiry of a turn; the turns of a program are dropped together.
	expiry int64
}

func newProgram() *program {
	return &program{turns: make(map[string]struct{}), open: make(map[string]int), foreign: -1}
}

// granted sums up the open reservations that were granted ahead.
func (g *program) granted() int {
	sum := 0
	for _, tokens := range g.open {
		sum += tokens
	}
	return sum
}

// used returns the tokens that count against the budget.
func (g *program) used() int { return g.tokens + g.inherited + g.granted() }

// grantAhead reserves a turn's tokens without a record, if this home may.
func (g *program) grantAhead(turn string, tokens int) bool {
	g.largest = max(g.largest, tokens)
	if g.granted()+tokens > g.ahead {
		return false
	}
	g.open[turn] = tokens
	return true
}

// nextAhead returns what a record that is written now lets this home grant ahead. Until
// the record is saved, no more than before may be granted.
func (g *program) nextAhead() int {
	next := g.granted() + int(aheadShare*float64(g.largest))
	if g.budget > 0 {
		next = min(next, max(g.budget-g.tokens-g.inherited, g.granted()))
	}
	g.ahead = min(g.ahead, next)
	return next
}

// foreignRecord counts what another home may grant as of its record at offset.
func (g *program) foreignRecord(offset, writer int64, ahead int) {
	if offset < g.foreign {
		return
	}
	g.foreign, g.writer = offset, writer
	// The other home's figure includes what this one may have granted by then.
	g.inherited = max(ahead-g.written, 0)
}
