package peers

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

// TestChangeIsSentAtOnce guards against a delay in large fleets, where most hosts receive no
// regular heartbeats: the loss of the store must reach them within one interval.
func TestChangeIsSentAtOnce(t *testing.T) {
	is := is.New(t)
	var healthy atomic.Bool
	healthy.Store(true)
	other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = other.Close() }()
	table := NewTable(Host{ID: "0", Addr: "127.0.0.1:0"}, healthy.Load)
	for n := 1; n < 40; n++ {
		table.HandleHeartbeat(Heartbeat{Host: Host{ID: strconv.Itoa(n), Incarnation: 1, Addr: "127.0.0.1:9"}})
	}
	farthest := table.ringLocked()[38]
	farthest.host.Addr = other.LocalAddr().String()
	var beats atomic.Int64
	beacon, err := NewBeacon(table, func() map[string]UsageReport { return nil }, func(Heartbeat) {}, event.Discard())
	is.NoErr(err)
	defer func() { _ = beacon.Close() }()
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			if _, _, err := other.ReadFromUDP(buffer); err != nil {
				return
			}
			beats.Add(1)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go beacon.Run(ctx)
	for beats.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	healthy.Store(false)
	start := time.Now()
	for beats.Load() == 1 {
		time.Sleep(time.Millisecond)
	}
	is.True(time.Since(start) < heartbeatInterval)
}

// TestLimitReachesOtherHosts guards against hosts that learn of a replica's limit only from
// answers of their own: in a large fleet each would send at least one request more.
func TestLimitReachesOtherHosts(t *testing.T) {
	is := is.New(t)
	newBeacon := func(id string, received func(Heartbeat)) (*Beacon, Host) {
		table := NewTable(Host{ID: id, Incarnation: 1, Addr: "127.0.0.1:0"}, func() bool { return true })
		beacon, err := NewBeacon(table, func() map[string]UsageReport { return nil }, received, event.Discard())
		is.NoErr(err)
		t.Cleanup(func() { _ = beacon.Close() })
		return beacon, Host{ID: id, Incarnation: 1, Addr: beacon.conn.LocalAddr().String()}
	}
	limits := make(chan ReplicaLimit, 2)
	sender, _ := newBeacon("a", func(Heartbeat) {})
	receiver, host := newBeacon("b", func(b Heartbeat) { limits <- b.Limits[0] })
	sender.table.HandleHeartbeat(Heartbeat{Host: host})
	go receiver.Receive()
	limit := ReplicaLimit{Replica: "r", Incarnation: 7, PerSecond: 12.5}
	sender.Broadcast(Notice{Limits: []ReplicaLimit{limit}})
	is.Equal(<-limits, limit)
	is.Equal(<-limits, limit) // repeated, since a datagram may be lost
}
