package turns

// programKey names a program of a client account.
type programKey struct{ account, program string }

// program sums up the turns of one program.
type program struct {
	turns map[string]struct{}
	// tokens are used or reserved by all turns.
	tokens int
	// expiry is the latest expiry of a turn; the turns of a program are dropped together.
	expiry int64
}
