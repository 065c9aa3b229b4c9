package lists

import "cowslipgw/internal/structs"

// Route is a path of an app service, read from a section [route NAME] of the plans
// list.
type Route struct {
	Name string
	Pool structs.PoolName
	// Path is a prefix of the path below /apps/{pool}. The longest matching prefix
	// wins.
	Path string
	// Methods are the allowed HTTP methods; empty allows all.
	Methods []string
	// Open routes require no API key.
	Open bool
	// Retryable is set if a call is safe to retry after a failure.
	Retryable bool
}
