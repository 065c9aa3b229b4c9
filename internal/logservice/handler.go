package logservice

import "cowslipgw/internal/structs"

// Handler receives the records of one stream. Its methods are called one at a
// time. They may call Offset and Since of the follower, but not Offer.
type Handler interface {
	// Apply receives records in order. Each offset is handed over once.
	Apply(records []Record)
	// Trimmed says that the log no longer keeps records which were not handed over.
	// The next record that Apply receives has the offset first or a later one; the
	// handler continues at the next snapshot record.
	Trimmed(first structs.Offset)
}
