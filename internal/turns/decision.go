package turns

// decision is what an owner has decided on a turn that is to begin.
type decision struct {
	reply BeginReply
	// history is the history that the turn continues.
	history path
	// change is the record of the reservation; nil if it needs none or is denied.
	change *change
	// backup is the host that must have a copy of the grant before the turn begins; 0 if none must.
	backup int64
}

func refused(o Outcome) decision { return decision{reply: BeginReply{Outcome: o}} }
