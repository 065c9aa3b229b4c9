package lists

import "cowslipgw/internal/structs"

// Plan is a plan that accounts can have, read from a section [plan NAME] of the plans
// list.
type Plan struct {
	Name string
	// Rate is the number of requests per second and Burst the number of requests that
	// the token bucket of an account holds.
	Rate  float64
	Burst int64
	// Weight is the account's share in fair queueing.
	Weight float64
	// Budget limits each root program.
	Budget structs.Budget
	// Models and Routes are the names of the models and routes that the plan grants.
	Models []string
	Routes []string
}
