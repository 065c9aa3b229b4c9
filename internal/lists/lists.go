package lists

import "cowslipgw/internal/structs"

// Lists holds both lists at one version. It is immutable once published.
type Lists struct {
	// Version is the offset of the record that introduced this version.
	Version  structs.Offset
	Accounts map[structs.AccountID]Account
	Plans    map[string]Plan
	Routes   map[string]Route
	Models   map[string]Model
	// AccountsText and PlansText are the INI texts as written by the operators.
	AccountsText, PlansText string

	byKey  map[KeyHash]structs.AccountID
	byPool map[structs.PoolName][]Route
}

// Empty returns the lists that precede the first version, with no accounts and no
// plans.
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

// AccountByKey returns the account that owns the key with the given hash.
func (l *Lists) AccountByKey(hash KeyHash) (structs.AccountID, bool) {
	id, ok := l.byKey[hash]
	return id, ok
}
