package lists

import (
	"time"

	"cowslipgw/internal/structs"
)

// Change describes one accepted version in the history.
type Change struct {
	Version structs.Offset `json:"version"`
	ID      string         `json:"id"`
	Base    structs.Offset `json:"base"`
	By      string         `json:"by"`
	Message string         `json:"message"`
	// Folded is when the record was applied by this host, or by the host that wrote the
	// snapshot.
	Folded time.Time `json:"folded"`
	// Changes describes the differences from the previous version. Key hashes are
	// shortened.
	Changes []string `json:"changes"`
}
