package lists

import "cowslipgw/internal/structs"

// Withdrawal lists the keys and accounts whose access a change revoked.
type Withdrawal struct {
	// Keys maps each revoked key to the account that it belonged to.
	Keys map[KeyHash]structs.AccountID
	// Accounts are the accounts that were removed or lost a key.
	Accounts map[structs.AccountID]bool
}

// Withdrawn compares two versions and returns the access that the change revoked. A key
// that moved to another account counts as revoked, because running requests with that
// key belong to the previous account.
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

// Revokes reports whether a running request with the given key and account must be ended.
func (w Withdrawal) Revokes(key KeyHash, account structs.AccountID) bool {
	owner, withdrawn := w.Keys[key]
	return withdrawn && owner == account
}
