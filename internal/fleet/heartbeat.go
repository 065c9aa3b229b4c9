package fleet

import (
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

const (
	// ageStep is the unit of Heartbeat.Ages.
	ageStep = 100 * time.Millisecond
	// oldestAge is the value of Heartbeat.Ages for 25.5 s or more.
	oldestAge = 255
)

// Heartbeat is the message that a host sends to its watchers each second.
type Heartbeat struct {
	From        structs.HostID
	Incarnation structs.Incarnation
	View        structs.ViewNumber
	// Offsets are the offsets of the streams that the sender has.
	Offsets map[string]structs.Offset
	// Known is the time since the newest moment up to which Offsets are known to include
	// the whole log, from an own read or from a peer's.
	Known time.Duration
	// LogDown says that the sender has not read to the end of the log for 3 s.
	LogDown bool
	// Ages has one byte per host of View in its order: the time since the host was last
	// heard, directly or through others, in steps of 100 ms; 255 means 25.5 s or more.
	Ages []byte
	// Down has one bit per host of View: the host's last known LogDown.
	Down []byte
	// Echo is the Stamp of the last answer of the receiver, and Hold the time since that
	// answer arrived. The receiver bounds the message's delay with them, so that a
	// heartbeat which was held back in the network does not count as fresh knowledge.
	Echo int64
	Hold time.Duration
}

// HeartbeatReply is the answer to a heartbeat.
type HeartbeatReply struct {
	// Stamp is the receiver's clock.
	Stamp int64
	// Offsets are the offsets of the streams that the receiver has.
	Offsets map[string]structs.Offset
}

// RecordsRequest asks a peer for records of a stream.
type RecordsRequest struct {
	Stream string
	After  structs.Offset
}

// RecordsReply holds the records after RecordsRequest.After, in order. It is empty
// when the peer does not have them.
type RecordsReply struct {
	Records []logservice.Record
}

func encodeAge(age time.Duration) byte {
	steps := (age + ageStep - 1) / ageStep
	return byte(min(max(steps, 0), oldestAge))
}

// decodeAge returns the age and whether it is known exactly.
func decodeAge(b byte) (time.Duration, bool) {
	return time.Duration(b) * ageStep, b != oldestAge
}

func bit(bits []byte, i int) bool {
	return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0
}

func setBit(bits []byte, i int) {
	bits[i/8] |= 1 << (i % 8)
}
