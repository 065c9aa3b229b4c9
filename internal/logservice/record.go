package logservice

import "cowslipgw/internal/structs"

// Record is one record of a log stream.
type Record struct {
	Offset structs.Offset `json:"offset"`
	ID     string         `json:"id"`
	Data   []byte         `json:"data"`
}
