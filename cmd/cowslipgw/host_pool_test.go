package main

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/platform"
	"cowslipgw/platform/platformtest"
)

// TestRelayedRequestsStartAtOwnAddress guards against hosts with several addresses that decline each
// other's requests as those of strangers.
func TestRelayedRequestsStartAtOwnAddress(t *testing.T) {
	is := is.New(t)
	var processes []*gatewayProcess
	for n := range 2 {
		h, err := platformtest.NewHost(t.TempDir(), n, "127.0.0.1:1")
		is.NoErr(err)
		settings, err := platform.LoadSettings(h.Settings)
		is.NoErr(err)
		p, err := newGatewayProcess(settings, h.Settings, event.Discard())
		is.NoErr(err)
		t.Cleanup(func() { _ = p.beacon.Close() })
		processes = append(processes, p)
	}
	asking, accepting := processes[0], processes[1]
	accepting.table.HandleRecord(peers.Host{ID: "asking", Incarnation: 1, Addr: asking.table.Self().Addr})
	listener, err := net.Listen("tcp", accepting.table.Self().Relay)
	is.NoErr(err)
	defer listener.Close()
	is.NoErr(asking.hostPool.Open(t.Context(), listener.Addr().String(), ""))
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	is.NoErr(err)
	is.True(accepting.table.IsHost(ip)) // the connection must come from a known host
}
