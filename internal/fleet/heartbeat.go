package fleet

import (
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

const (
	// ageUnit is the resolution of Heartbeat.Ages.
	ageUnit = 100 * time.Millisecond
	// maxEncodedAge is the value in Heartbeat.Ages that stands for 25.5 s or more.
	maxEncodedAge = 255
)

// Heartbeat is the message that a host sends to each of its watchers every second.
type Heartbeat struct {
	From        structs.HostID
	Incarnation structs.Incarnation
	View        structs.ViewNumber
	// Offsets holds the sender's last offset of each stream.
	Offsets map[string]structs.Offset
	// Known is the time since the latest moment at which Offsets covered the whole log,
	// according to a read by the sender or by one of its peers.
	Known time.Duration
	// LogDown is set if the sender has not read to the end of the log for 3 s.
	LogDown bool
	// Ages has one byte per host of View, in view order: the time since the last sign of
	// life of that host, received directly or through other hosts, in units of 100 ms.
	// 255 means 25.5 s or more.
	Ages []byte
	// Down has one bit per host of View: the LogDown flag that the host last reported.
	Down []byte
	// Echo is the Stamp of the receiver's last reply, and Hold the time since that reply
	// arrived at the sender. The receiver uses them to bound the delay of the message, so
	// that a heartbeat which was delayed in the network does not count as fresh.
	Echo int64
	Hold time.Duration
}

// HeartbeatReply is the reply to a Heartbeat.
type HeartbeatReply struct {
	// Stamp is the receiver's clock, which the sender returns as Heartbeat.Echo.
	Stamp int64
	// Offsets holds the receiver's last offset of each stream.
	Offsets map[string]structs.Offset
}

// RecordsRequest asks a peer for the records of a stream after a given offset.
type RecordsRequest struct {
	Stream string
	After  structs.Offset
}

// RecordsReply holds the records after RecordsRequest.After, in order. It is empty if
// the peer does not have them.
type RecordsReply struct {
	Records []logservice.Record
}

// encodeAge rounds the age up to a multiple of ageUnit and caps it at maxEncodedAge.
func encodeAge(age time.Duration) byte {
	steps := (age + ageUnit - 1) / ageUnit
	return byte(min(max(steps, 0), maxEncodedAge))
}

// decodeAge returns the age, and false if the age is only a lower bound.
func decodeAge(b byte) (time.Duration, bool) {
	return time.Duration(b) * ageUnit, b != maxEncodedAge
}

func bit(bits []byte, i int) bool {
	return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0
}

func setBit(bits []byte, i int) {
	bits[i/8] |= 1 << (i % 8)
}
