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

// sleeper is an RPC service that answers after a delay.
type sleeper struct{}

// Sleep sleeps for d.
func (sleeper) Sleep(d time.Duration, _ *struct{}) error {
	time.Sleep(d)
	return nil
}

// startSleeper starts a host that serves sleeper, and returns it with a table that contains
// it.
func startSleeper(t *testing.T) (*Table, Host) {
	t.Helper()
	server := rpc.NewServer()
	if err := server.RegisterName("Sleeper", sleeper{}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = NewServer(server, event.Discard()).Serve(listener) }()
	h := Host{ID: "1", Incarnation: 1, Addr: listener.Addr().String()}
	table := NewTable(Host{ID: "0"}, func() bool { return true })
	table.HandleHeartbeat(Heartbeat{Host: h, Condition: Condition{Serving: true}})
	return table, h
}

// sleep calls the sleeper with a deadline.
func sleep(c *Caller, h Host, d, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return c.Call(ctx, h, "Sleeper.Sleep", d, &struct{}{})
}

// TestShortDeadlineKeepsConnection guards against a call whose short deadline passes and
// which thereby closes the connection under the other calls to the host, and marks the host
// as suspect so that its partitions move.
func TestShortDeadlineKeepsConnection(t *testing.T) {
	is := is.New(t)
	table, h := startSleeper(t)
	c := NewCaller(table)
	is.NoErr(sleep(c, h, 0, time.Second))
	other := make(chan error, 1)
	go func() { other <- sleep(c, h, 150*time.Millisecond, time.Second) }()
	is.True(sleep(c, h, 100*time.Millisecond, 50*time.Millisecond) != nil)
	is.NoErr(<-other)
	_, alive := table.Counts()
	is.Equal(alive, 2)
}

// TestSilentHostIsSuspected guards against a host that never becomes suspect although it no
// longer answers, because each single call has a short deadline.
func TestSilentHostIsSuspected(t *testing.T) {
	is := is.New(t)
	table, h := startSleeper(t)
	c := NewCaller(table)
	start := time.Now()
	for alive := 2; alive == 2; _, alive = table.Counts() {
		is.True(sleep(c, h, 2*time.Second, 50*time.Millisecond) != nil)
		is.True(time.Since(start) < 2*unresponsiveAfter)
	}
}
