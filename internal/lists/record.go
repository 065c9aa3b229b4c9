package lists

import (
	"encoding/json"
	"fmt"

	"cowslipgw/internal/structs"
)

// Stream is the name of the log stream that stores the lists.
const Stream = "lists"

// Record is one record of the stream, either a change or a snapshot of the state.
type Record struct {
	// ID identifies the record. It equals the record's ID in the log.
	ID string `json:"id"`
	// Base is the version that a change was edited from. In a snapshot it is the offset
	// of the last record that the writer had applied.
	Base structs.Offset `json:"base"`
	// By is the operator who made the change.
	By      string `json:"by"`
	Message string `json:"message"`
	// Accounts and Plans are the complete INI texts.
	Accounts string `json:"accounts"`
	Plans    string `json:"plans"`
	Snapshot bool   `json:"snapshot,omitempty"`
	// Version and History are only set in snapshots.
	Version structs.Offset `json:"version,omitempty"`
	History []Change       `json:"history,omitempty"`
}

// Encode returns the record in the form stored in the log.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// DecodeRecord decodes the data of a log record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode lists record: %w", err)
	}
	return r, nil
}
