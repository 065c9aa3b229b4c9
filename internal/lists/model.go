package lists

import "cowslipgw/internal/structs"

// Model is a model that callers can request, read from a section [model NAME] of the
// plans list.
type Model struct {
	Name string
	Pool structs.PoolName
	// Context is the maximum number of prompt and completion tokens of a call.
	Context int64
}
