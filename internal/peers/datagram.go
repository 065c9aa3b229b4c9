package peers

// Datagram is a message and its receivers.
type Datagram struct {
	To      []Host
	Message Heartbeat
}
