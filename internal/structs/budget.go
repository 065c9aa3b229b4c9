package structs

import "time"

// Budget limits one root program together with all its sub-agents. A zero field means
// no limit.
type Budget struct {
	// Tokens limits the sum of prompt and completion tokens.
	Tokens int64
	// Calls limits the number of calls.
	Calls int64
	// Wall limits the time since the program's first call.
	Wall time.Duration
	// Depth limits how deeply sub-agents may be nested. A root program has depth 1.
	Depth int
}
