package peers

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

// startServer starts a server, and a caller with an open connection to it.
func startServer(t *testing.T) (*Server, *Caller, Host) {
	t.Helper()
	is := is.New(t)
	services := rpc.NewServer()
	is.NoErr(services.RegisterName("Sleeper", sleeper{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(services, event.Discard())
	go func() { _ = server.Serve(listener) }()
	h := Host{ID: "1", Incarnation: 1, Addr: listener.Addr().String()}
	c := NewCaller(NewTable(Host{ID: "0"}, func() bool { return true }))
	is.NoErr(sleep(c, h, 0, time.Second))
	return server, c, h
}

// TestCallInProgressIsAnsweredInShutdown guards against calls of other hosts that are cut by a planned
// stop, after which their callers do not know whether they took effect.
func TestCallInProgressIsAnsweredInShutdown(t *testing.T) {
	is := is.New(t)
	server, c, h := startServer(t)

	const work = 200 * time.Millisecond
	inProgress := make(chan error, 1)
	go func() { inProgress <- sleep(c, h, work, 5*time.Second) }()
	time.Sleep(work / 4)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(server.Shutdown(ctx))
	is.True(time.Since(start) >= work/2) // it waits for the call
	is.NoErr(<-inProgress)
	// A later call fails at once, so that its caller goes to another host.
	start = time.Now()
	is.True(sleep(c, h, 0, 5*time.Second) != nil)
	is.True(time.Since(start) < time.Second)
}

// TestCallDuringShutdownFailsAtOnce guards against a call to a stopping host that waits for its whole
// limit because an earlier call on the same connection is still in progress.
func TestCallDuringShutdownFailsAtOnce(t *testing.T) {
	is := is.New(t)
	server, c, h := startServer(t)

	const work = time.Second
	inProgress := make(chan error, 1)
	go func() { inProgress <- sleep(c, h, work, 5*time.Second) }()
	time.Sleep(work / 10)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	time.Sleep(work / 10)
	start := time.Now()
	err := sleep(c, h, 0, 5*time.Second)
	if took := time.Since(start); took > work/2 {
		t.Errorf("call during the shutdown: %v after %v", err, took.Round(10*time.Millisecond))
	}
	is.NoErr(<-inProgress)
	is.NoErr(<-stopped)
}
