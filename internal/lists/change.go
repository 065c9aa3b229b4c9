package lists

import (
	"time"

	"cowslipgw/internal/structs"
)

// Change is one accepted version in the history.
type Change struct {
	Version structs.Offset `json:"version"`
	ID      string         `json:"id"`
	Base    structs.Offset `json:"base"`
	By      string         `json:"by"`
	Message string         `json:"message"`
	// Folded is when this host, or the host that wrote the snapshot, folded it.
	Folded time.Time `json:"folded"`
	// Changes says in words what changed, without whole key hashes.
	Changes []string `json:"changes"`
}
