package logserver

import "time"

// Record is a record of a stream, in the JSON format of the log protocol.
type Record struct {
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	Data   []byte `json:"data"`
}

// readResponse is the response to a read. It contains no records if some of the
// requested ones have been trimmed.
type readResponse struct {
	First   uint64   `json:"first"`
	End     uint64   `json:"end"`
	Records []Record `json:"records"`
}

// storedRecord is a record with the time at which it was appended.
type storedRecord struct {
	Record
	at time.Time
}
