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
	// Answer is the assistant's message. It enters the history together with the turn's
	// new messages when Outcome is OutcomeAnswered.
	Answer  structs.Message
	Usage   structs.Usage
	Replica structs.ReplicaID
	// End requests that the program ends after this call.
	End bool
	Now time.Time
}

// EndRequest ends a program and releases its engine memory. Ending a root program also
// ends its sub-agents.
type EndRequest struct {
	Key Key
	Now time.Time
}
