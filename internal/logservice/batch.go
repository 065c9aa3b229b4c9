package logservice

import "cowslipgw/internal/structs"

// Batch is the result of one read of a stream.
type Batch struct {
	// First is the oldest offset that the log retains.
	First structs.Offset `json:"first"`
	// End is the newest offset of the stream at the time of the read.
	End     structs.Offset `json:"end"`
	Records []Record       `json:"records"`
}
