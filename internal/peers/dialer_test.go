package peers

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// remoteIP accepts one connection and returns the IP address from which it was opened.
func remoteIP(t *testing.T, listener net.Listener) <-chan string {
	t.Helper()
	from := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			from <- err.Error()
			return
		}
		ip, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		from <- ip
		conn.Close()
	}()
	return from
}

// TestCallsStartAtOwnAddress guards against calls that start at another address of the host, so
// that other hosts do not recognize it.
func TestCallsStartAtOwnAddress(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.3:0")
	is.NoErr(err)
	defer listener.Close()
	from := remoteIP(t, listener)
	self := Host{ID: "0", Addr: "127.0.0.2:17780"}
	other := Host{ID: "1", Incarnation: 1, Addr: listener.Addr().String()}
	c := NewCaller(NewTable(self, func() bool { return true }))
	// The other end closes the connection, so the call fails.
	_ = sleep(c, other, 0, time.Second)
	accepting := NewTable(other, func() bool { return true })
	accepting.HandleRecord(self)
	ip := <-from
	is.Equal(ip, "127.0.0.2")
	is.True(accepting.IsHost(ip))
}
