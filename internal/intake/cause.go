package intake

import "net/http"

// cause is the reason for which a connection is refused or closed. It is the value of a metric's label.
type cause string

const (
	causeHeadBytes      cause = "head_bytes"
	causeHeadTime       cause = "head_time"
	causeHeadMalformed  cause = "head_malformed"
	causeHeadMemory     cause = "head_memory"
	causeBodyMalformed  cause = "body_malformed"
	causeIdle           cause = "idle"
	causeEvictedIdle    cause = "evicted_idle"
	causeEvictedHead    cause = "evicted_head"
	causeConnections    cause = "connections"
	causeAddress        cause = "connections_of_address"
	causeTransferCoding cause = "transfer_coding"
)

// status returns the status with which a request is refused; 0 if the connection is closed without
// an answer.
func (c cause) status() int {
	switch c {
	case causeHeadBytes:
		return http.StatusRequestHeaderFieldsTooLarge
	case causeHeadTime:
		return http.StatusRequestTimeout
	case causeHeadMalformed:
		return http.StatusBadRequest
	case causeTransferCoding:
		return http.StatusNotImplemented
	case causeHeadMemory, causeEvictedHead:
		return http.StatusServiceUnavailable
	}
	return 0
}
