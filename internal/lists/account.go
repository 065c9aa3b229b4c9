package lists

import "cowslipgw/internal/structs"

// Account is one client account of the accounts list: section [account NAME].
type Account struct {
	ID   structs.AccountID
	Plan string
	Keys []KeyHash
}
