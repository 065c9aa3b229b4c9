package lists

import "cowslipgw/internal/structs"

// Indexed returns the lists with the table that AccountByKey reads, built from the
// accounts.
func Indexed(l Lists) *Lists {
	l.byKey = make(map[KeyHash]structs.AccountID)
	for id, account := range l.Accounts {
		for _, hash := range account.Keys {
			l.byKey[hash] = id
		}
	}
	return &l
}
