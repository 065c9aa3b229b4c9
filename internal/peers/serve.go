package peers

import (
	"net"
	"net/rpc"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// Serve answers the calls of other hosts on a listener until it is closed.
func Serve(listener net.Listener, server *rpc.Server, events *event.Logger) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go guard.Run(events, "connection of another host", func() { server.ServeCodec(newCodec(conn)) })
	}
}
