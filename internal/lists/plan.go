package lists

import "cowslipgw/internal/structs"

// Plan is one plan of the plans list: section [plan NAME].
type Plan struct {
	Name string
	// Rate is in requests a second, Burst in requests.
	Rate  float64
	Burst int64
	// Weight is the account's share in fair queueing.
	Weight float64
	// Budget limits each root program.
	Budget structs.Budget
	// Models and Routes name what the plan may use.
	Models []string
	Routes []string
}
