package lists

import "cowslipgw/internal/structs"

// Account is a client account, read from a section [account NAME] of the accounts list.
type Account struct {
	ID   structs.AccountID
	Plan string
	Keys []KeyHash
}
