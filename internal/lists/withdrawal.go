package lists

import "cowslipgw/internal/structs"

// Withdrawal holds what callers may no longer use after a change.
type Withdrawal struct {
	// Keys maps each key that no longer belongs to its account to that account.
	Keys map[KeyHash]structs.AccountID
	// Accounts are those that lost a key or were removed.
	Accounts map[structs.AccountID]bool
}

// Withdrawn compares two versions. A key that moved to another account counts as
// withdrawn, since requests that run under it belong to the old account.
func Withdrawn(before, after *Lists) Withdrawal {
	w := Withdrawal{
		Keys:     make(map[KeyHash]structs.AccountID),
		Accounts: make(map[structs.AccountID]bool),
	}
	for id := range before.Accounts {
		if _, kept := after.Accounts[id]; !kept {
			w.Accounts[id] = true
		}
	}
	for key, id := range before.byKey {
		if owner, kept := after.byKey[key]; !kept || owner != id {
			w.Keys[key] = id
			w.Accounts[id] = true
		}
	}
	return w
}

// Ends reports whether a request that came with the key for the account must end.
func (w Withdrawal) Ends(key KeyHash, account structs.AccountID) bool {
	owner, withdrawn := w.Keys[key]
	return withdrawn && owner == account
}
