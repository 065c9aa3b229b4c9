package account

import "cowslipgw/internal/structs"

// Excess returns by how much the level plus the held tokens exceed the burst.
func (b Buckets) Excess(id structs.AccountID) float64 {
	e := b[id]
	if e == nil {
		return 0
	}
	return e.Level + float64(e.held()) - float64(e.Burst)
}
