package peers

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestChangeIsSentAtOnce guards against a delay in large fleets, where the interval between
// heartbeats is long: the loss of the store must be sent before the next regular heartbeat.
func TestChangeIsSentAtOnce(t *testing.T) {
	is := is.New(t)
	var healthy atomic.Bool
	healthy.Store(true)
	other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = other.Close() }()
	table := NewTable(Host{ID: "0", Addr: "127.0.0.1:0"}, healthy.Load)
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		table.HandleHeartbeat(Heartbeat{Host: Host{ID: id, Incarnation: 1, Addr: "127.0.0.1:9"}})
	}
	table.HandleHeartbeat(Heartbeat{Host: Host{ID: "10", Incarnation: 1, Addr: other.LocalAddr().String()}})
	var beats atomic.Int64
	beacon, err := NewBeacon(table, func(*Heartbeat) {}, func(Heartbeat) {})
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
	is.True(time.Since(start) < minInterval)
}
