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
	// maxDatagram is the largest heartbeat that is read.
	maxDatagram = 16 << 10
	// changeInterval is how often a change of this host's condition is looked for.
	changeInterval = 100 * time.Millisecond
)

// Beacon sends and receives heartbeats.
type Beacon struct {
	table *Table
	conn  *net.UDPConn
	// fill completes a heartbeat of this host; received gets those of others.
	fill     func(*Heartbeat)
	received func(Heartbeat)
}

// NewBeacon listens at the table's own address.
func NewBeacon(table *Table, fill func(*Heartbeat), received func(Heartbeat)) (*Beacon, error) {
	addr, err := net.ResolveUDPAddr("udp4", table.self.Addr)
	if err != nil {
		return nil, oops.Wrapf(err, "resolve own address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, oops.Wrapf(err, "listen for heartbeats")
	}
	return &Beacon{table: table, conn: conn, fill: fill, received: received}, nil
}

// Close ends Receive.
func (b *Beacon) Close() error { return b.conn.Close() }

// Run sends heartbeats until ctx ends: at intervals, and soon after what this host says of
// itself has changed.
func (b *Beacon) Run(ctx context.Context) {
	ticker := time.NewTicker(changeInterval)
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
		panic("heartbeat cannot be encoded: " + err.Error())
	}
	for _, h := range b.table.Others() {
		if addr, err := net.ResolveUDPAddr("udp4", h.Addr); err == nil {
			// A lost datagram is made up for by the next one.
			_, _ = b.conn.WriteToUDP(data, addr)
		}
	}
}

// Receive enters heartbeats until the beacon is closed.
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
			continue // not a heartbeat of ours
		}
		if b.table.Heard(beat) {
			b.received(beat)
		}
	}
}
