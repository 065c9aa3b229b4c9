package peers

import "net/rpc"

// stoppedService is the service to which calls after Shutdown are directed. It does not exist, so
// net/rpc replies with an error and executes nothing.
const stoppedService = "Stopped"

// serverCodec is the codec of a Server's connections.
type serverCodec struct {
	*codec
	server *Server
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.codec.ReadRequestHeader(r); err != nil {
		return err
	}
	if !c.server.begin() {
		r.ServiceMethod = stoppedService + ".Call"
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.server.end()
	return c.codec.WriteResponse(r, body)
}

// Close implements rpc.ServerCodec. net/rpc calls it after its last read.
func (c *serverCodec) Close() error {
	c.charge(0)
	return c.codec.Close()
}
