package host

import (
	"cowslipgw/internal/lists"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// listsHandler applies the records of the lists stream to a store.
type listsHandler struct {
	store *lists.Store
}

// Apply implements logservice.Handler. It applies records in log order.
func (h listsHandler) Apply(records []logservice.Record) {
	for _, record := range records {
		h.store.Fold(record)
	}
}

// Trimmed implements logservice.Handler. It makes the store wait for a snapshot.
func (h listsHandler) Trimmed(first structs.Offset) {
	h.store.Trimmed(first)
}
