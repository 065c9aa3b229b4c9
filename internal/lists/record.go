package lists

import (
	"encoding/json"
	"fmt"

	"cowslipgw/internal/structs"
)

// Stream is the name of the log's stream that holds the lists.
const Stream = "lists"

// Record is one record of the stream: a change, or a snapshot of the state.
type Record struct {
	// ID names the record; it equals the record ID in the log.
	ID string `json:"id"`
	// Base is the version that a change was edited from. In a snapshot it is the last
	// offset that its writer had folded.
	Base structs.Offset `json:"base"`
	// By names the operator.
	By      string `json:"by"`
	Message string `json:"message"`
	// Accounts and Plans are the whole INI texts.
	Accounts string `json:"accounts"`
	Plans    string `json:"plans"`
	Snapshot bool   `json:"snapshot,omitempty"`
	// Version and History are set in a snapshot.
	Version structs.Offset `json:"version,omitempty"`
	History []Change       `json:"history,omitempty"`
}

// Encode returns the record as the log's data.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// DecodeRecord reads the log's data.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record of the lists: %w", err)
	}
	return r, nil
}
