package peers

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// maxDatagram is the maximum size of a received message.
const maxDatagram = 16 << 10

// Beacon exchanges the messages of a table over UDP.
type Beacon struct {
	table *Table
	conn  *net.UDPConn
	// usage returns the usage of client accounts to send, by the ID of the host that needs
	// it; received is called with the messages of other hosts that contain usage or a notice.
	usage    func() map[string]UsageReport
	received func(Heartbeat)
	// inFlight returns the reports to send; nil for none.
	inFlight func() InFlightReports
	events   *event.Logger
}

// NewBeacon returns a beacon that listens on the address of the table's own host.
func NewBeacon(table *Table, usage func() map[string]UsageReport, received func(Heartbeat), events *event.Logger) (*Beacon, error) {
	addr, err := net.ResolveUDPAddr("udp4", table.self.Addr)
	if err != nil {
		return nil, oops.Wrapf(err, "resolve own heartbeat address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, oops.Wrapf(err, "listen for heartbeats")
	}
	return &Beacon{table: table, conn: conn, usage: usage, received: received, events: events}, nil
}

// SetInFlight sets the function that returns the reports to send on requests in flight. It must be
// called before Run.
func (b *Beacon) SetInFlight(inFlight func() InFlightReports) { b.inFlight = inFlight }

// Close closes the socket, which ends Receive.
func (b *Beacon) Close() error { return b.conn.Close() }

// Run sends the messages that are due until ctx is done.
func (b *Beacon) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, d := range b.table.Tick() {
			b.send(d)
		}
		for _, d := range b.table.usageMessages(b.usage()) {
			b.send(d)
		}
		if b.inFlight != nil {
			for _, d := range b.table.inFlightMessages(b.inFlight()) {
				b.send(d)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Announce sends this host's condition to all other hosts.
func (b *Beacon) Announce() { b.send(b.table.Announce()) }

// Broadcast sends a notice to all other hosts, and once more a little later, since datagrams are
// lost now and then.
func (b *Beacon) Broadcast(notice Notice) {
	b.send(b.table.noticeMessage(notice))
	time.AfterFunc(repeatDelay, func() { b.send(b.table.noticeMessage(notice)) })
}

func (b *Beacon) send(d Datagram) {
	if len(d.To) == 0 {
		return
	}
	data, err := cbor.Marshal(d.Message)
	if err != nil {
		panic("encode heartbeat: " + err.Error())
	}
	for _, h := range d.To {
		if addr, err := net.ResolveUDPAddr("udp4", h.Addr); err == nil {
			// A lost datagram is made up for by later ones.
			_, _ = b.conn.WriteToUDP(data, addr)
		}
	}
}

// Receive passes messages to the table until the beacon is closed.
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
		guard.Run(b.events, "heartbeat", func() { b.receive(buffer[:n]) })
	}
}

// receive handles one datagram.
func (b *Beacon) receive(data []byte) {
	var beat Heartbeat
	if cbor.Unmarshal(data, &beat) != nil {
		return // not a message of this system
	}
	reply, ok := b.table.Handle(beat)
	if reply != nil {
		b.send(*reply)
	}
	if ok && (len(beat.Usage)+len(beat.InFlight)+len(beat.FleetInFlight) > 0 || !beat.Notice.isEmpty()) {
		b.received(beat)
	}
}
