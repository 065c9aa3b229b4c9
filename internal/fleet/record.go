package fleet

import (
	"encoding/json"

	"github.com/samber/oops"

	"cowslipgw/internal/structs"
)

// Stream is the name of the log stream that holds the membership records.
const Stream = "fleet"

// Kind is the type of a membership record.
type Kind string

const (
	// KindJoin adds a host to the view. The offset of the record becomes the host's
	// incarnation.
	KindJoin Kind = "join"
	// KindLeaving marks a host as draining before a planned stop.
	KindLeaving Kind = "leaving"
	// KindLeft removes a drained host from the view.
	KindLeft Kind = "left"
	// KindSuspect records that a watcher no longer receives heartbeats from a host.
	KindSuspect Kind = "suspect"
	// KindClear withdraws a suspicion.
	KindClear Kind = "clear"
	// KindSnapshot carries the complete membership state.
	KindSnapshot Kind = "snapshot"
)

// Record is the payload of a membership record. It is encoded as JSON.
type Record struct {
	Kind Kind `json:"kind"`
	// Host is set in join records. Its Incarnation is ignored.
	Host *Host `json:"host,omitempty"`
	// Target and TargetIncarnation identify the host that the record applies to. Join and
	// snapshot records leave them empty.
	Target            structs.HostID      `json:"target,omitempty"`
	TargetIncarnation structs.Incarnation `json:"target_incarnation,omitempty"`
	// By and ByIncarnation identify the watcher that appended a suspect or clear record.
	By            structs.HostID      `json:"by,omitempty"`
	ByIncarnation structs.Incarnation `json:"by_incarnation,omitempty"`
	Snapshot      *Snapshot           `json:"snapshot,omitempty"`
}

// Encode returns the record as log record data.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, oops.In("fleet").With("kind", r.Kind).Wrapf(err, "encode membership record")
	}
	return data, nil
}

// DecodeRecord parses log record data that Encode produced.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, oops.In("fleet").Wrapf(err, "decode membership record")
	}
	return r, nil
}
