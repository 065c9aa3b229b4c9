package program

import "cowslipgw/internal/structs"

// Key identifies a program. Root and Program are equal for a root program.
type Key struct {
	Account structs.AccountID
	Root    structs.ProgramID
	Program structs.ProgramID
}
