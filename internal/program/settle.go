package program

import (
	"time"

	"cowslipgw/internal/structs"
)

// SettleRequest ends a call of a program.
type SettleRequest struct {
	Key     Key
	Call    structs.CallID
	Outcome structs.Outcome
	// Answer is the assistant's message; it and the turn's new messages enter the
	// history when Outcome is OutcomeAnswered.
	Answer  structs.Message
	Usage   structs.Usage
	Replica structs.ReplicaID
	// End ends the program after this call.
	End bool
	Now time.Time
}

// EndRequest ends a program and releases its engine memory. Ending a root program
// ends its sub-agents.
type EndRequest struct {
	Key Key
	Now time.Time
}
