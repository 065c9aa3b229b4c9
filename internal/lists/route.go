package lists

import "cowslipgw/internal/structs"

// Route is one path of a plain service: section [route NAME] of the plans list.
type Route struct {
	Name string
	Pool structs.PoolName
	// Path is a prefix of the path below /apps/{pool}. The longest match counts.
	Path string
	// Methods lists the HTTP methods; empty allows all.
	Methods []string
	// Open routes need no key.
	Open bool
	// Repeat says that a call may be sent again after a failure.
	Repeat bool
}
