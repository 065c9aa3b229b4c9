package fleet

import (
	"encoding/json"

	"github.com/samber/oops"

	"cowslipgw/internal/structs"
)

// Stream is the name of the log stream of membership records.
const Stream = "fleet"

// Kind says what a membership record states.
type Kind string

const (
	// KindJoin adds a host; the record's offset becomes its incarnation.
	KindJoin Kind = "join"
	// KindLeaving says that a host drains before a planned stop.
	KindLeaving Kind = "leaving"
	// KindLeft removes a host that has drained.
	KindLeft Kind = "left"
	// KindSuspect says that a watcher has not heard from a host.
	KindSuspect Kind = "suspect"
	// KindClear takes a suspicion back.
	KindClear Kind = "clear"
	// KindSnapshot holds the whole state of the fold.
	KindSnapshot Kind = "snapshot"
)

// Record is the data of a membership record, encoded as JSON.
type Record struct {
	Kind Kind `json:"kind"`
	// Host is set in a join record. Its incarnation is not used.
	Host *Host `json:"host,omitempty"`
	// Target and TargetIncarnation name the host that a record other than join and
	// snapshot is about.
	Target            structs.HostID      `json:"target,omitempty"`
	TargetIncarnation structs.Incarnation `json:"target_incarnation,omitempty"`
	// By and ByIncarnation name the watcher of a suspect or clear record.
	By            structs.HostID      `json:"by,omitempty"`
	ByIncarnation structs.Incarnation `json:"by_incarnation,omitempty"`
	Snapshot      *Snapshot           `json:"snapshot,omitempty"`
}

// Encode returns the data of a log record.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, oops.In("fleet").With("kind", r.Kind).Wrapf(err, "encode a membership record")
	}
	return data, nil
}

// DecodeRecord parses the data of a log record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, oops.In("fleet").Wrapf(err, "decode a membership record")
	}
	return r, nil
}
