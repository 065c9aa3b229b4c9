package logserver

import "time"

// Record is one record of a stream, in the form of the log's protocol.
type Record struct {
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	Data   []byte `json:"data"`
}

// batch is the answer to a read, and without records the answer to a read of
// trimmed ones.
type batch struct {
	First   uint64   `json:"first"`
	End     uint64   `json:"end"`
	Records []Record `json:"records"`
}

// entry is a record with the time of its append.
type entry struct {
	Record
	at time.Time
}
