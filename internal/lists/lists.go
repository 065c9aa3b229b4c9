package lists

import "cowslipgw/internal/structs"

// Lists are the operators' two lists at one version. A Lists is never changed
// after it is published.
type Lists struct {
	// Version is the offset of the record that brought this version into force.
	Version  structs.Offset
	Accounts map[structs.AccountID]Account
	Plans    map[string]Plan
	Routes   map[string]Route
	Models   map[string]Model
	// AccountsText and PlansText are the INI texts as the operators wrote them.
	AccountsText, PlansText string

	byKey  map[KeyHash]structs.AccountID
	byPool map[structs.PoolName][]Route
}

// Empty returns the lists before the first version: no account and no plan.
func Empty() *Lists {
	empty, _ := Parse("", "")
	return empty
}

// PlanOf returns the plan of an account.
func (l *Lists) PlanOf(id structs.AccountID) (Plan, bool) {
	account, ok := l.Accounts[id]
	if !ok {
		return Plan{}, false
	}
	plan, ok := l.Plans[account.Plan]
	return plan, ok
}

// AccountByKey returns the account that a key's hash belongs to.
func (l *Lists) AccountByKey(hash KeyHash) (structs.AccountID, bool) {
	id, ok := l.byKey[hash]
	return id, ok
}
