package peers

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"cowslipgw/internal/boottime"
)

const (
	// maxDatagram is the maximum size of a received heartbeat.
	maxDatagram = 16 << 10
	// changePollInterval is how often this host's condition is checked for changes.
	changePollInterval = 100 * time.Millisecond
)

// Beacon sends and receives heartbeats over UDP.
type Beacon struct {
	table *Table
	conn  *net.UDPConn
	// fill completes a heartbeat of this host; received is called with those of others.
	fill     func(*Heartbeat)
	received func(Heartbeat)
}

// NewBeacon returns a beacon that listens on the address of the table's own host.
func NewBeacon(table *Table, fill func(*Heartbeat), received func(Heartbeat)) (*Beacon, error) {
	addr, err := net.ResolveUDPAddr("udp4", table.self.Addr)
	if err != nil {
		return nil, oops.Wrapf(err, "resolve own heartbeat address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, oops.Wrapf(err, "listen for heartbeats")
	}
	return &Beacon{table: table, conn: conn, fill: fill, received: received}, nil
}

// Close closes the socket, which ends Receive.
func (b *Beacon) Close() error { return b.conn.Close() }

// Run sends heartbeats until ctx is done: at regular intervals, and soon after a change of
// this host's condition.
func (b *Beacon) Run(ctx context.Context) {
	ticker := time.NewTicker(changePollInterval)
	defer ticker.Stop()
	var last Condition
	var sent boottime.Instant
	for ctx.Err() == nil {
		if now := b.table.condition(); now != last || boottime.Since(sent) >= b.table.Interval() {
			last, sent = now, boottime.Now()
			b.Send()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Send sends one heartbeat to every other host.
func (b *Beacon) Send() {
	beat := Heartbeat{Host: b.table.self, Condition: b.table.condition()}
	b.fill(&beat)
	data, err := cbor.Marshal(beat)
	if err != nil {
		panic("encode heartbeat: " + err.Error())
	}
	for _, h := range b.table.Others() {
		if addr, err := net.ResolveUDPAddr("udp4", h.Addr); err == nil {
			// The next heartbeat makes up for a lost datagram.
			_, _ = b.conn.WriteToUDP(data, addr)
		}
	}
}

// Receive passes heartbeats to the table until the beacon is closed.
func (b *Beacon) Receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := b.conn.ReadFromUDP(buffer)
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			return
		}
		var beat Heartbeat
		if cbor.Unmarshal(buffer[:n], &beat) != nil {
			continue // not a heartbeat of this system
		}
		if b.table.HandleHeartbeat(beat) {
			b.received(beat)
		}
	}
}
