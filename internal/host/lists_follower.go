package host

import (
	"cowslipgw/internal/lists"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// listsHandler folds the stream of the two lists.
type listsHandler struct {
	store *lists.Store
}

// Apply folds records in order.
func (h listsHandler) Apply(records []logservice.Record) {
	for _, record := range records {
		h.store.Fold(record)
	}
}

// Trimmed needs no action: the store notices the gap in the offsets and waits for a
// snapshot.
func (listsHandler) Trimmed(structs.Offset) {}
