package lists

import "cowslipgw/internal/structs"

// Model is one model that callers name: section [model NAME] of the plans list.
type Model struct {
	Name string
	Pool structs.PoolName
	// Context is the largest number of prompt and completion tokens of one call.
	Context int64
}
