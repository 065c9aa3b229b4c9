package structs

import "time"

// Budget limits one root program with all its sub-agents. Zero means no limit.
type Budget struct {
	// Tokens limits prompt and completion tokens together.
	Tokens int64
	// Calls limits the calls.
	Calls int64
	// Wall limits the time since the program's first call.
	Wall time.Duration
	// Depth limits how deep sub-agents nest; a root program has depth 1.
	Depth int
}
