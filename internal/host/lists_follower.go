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

// Trimmed makes the store wait for a snapshot.
func (h listsHandler) Trimmed(first structs.Offset) {
	h.store.Trimmed(first)
}
