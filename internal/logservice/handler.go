package logservice

import "cowslipgw/internal/structs"

// Handler processes the records of one stream. A Follower does not call its methods
// concurrently. The methods may call Offset and Since of the follower, but not Offer.
type Handler interface {
	// Apply processes records in the order of their offsets. Each offset is passed once.
	Apply(records []Record)
	// Trimmed is called if the log was trimmed past records that the handler has not
	// received. The next record passed to Apply has the offset first or a later one. The
	// handler continues from the next snapshot record.
	Trimmed(first structs.Offset)
}
