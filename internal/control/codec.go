package control

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
)

// clientCodec is the client side gob codec of net/rpc with non-blocking writes. net/rpc
// holds a lock while it writes, so with blocking writes one peer that does not read would
// delay all callers past their deadlines.
type clientCodec struct {
	gobConn
}

// serverCodec is the server side counterpart of clientCodec.
type serverCodec struct {
	gobConn
}

// gobConn sends and receives gob messages on one connection.
type gobConn struct {
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	writer  *queueWriter
}

func newGobConn(conn net.Conn) gobConn {
	writer := newQueueWriter(conn)
	buffer := bufio.NewWriter(writer)
	return gobConn{
		decoder: gob.NewDecoder(bufio.NewReader(conn)),
		encoder: gob.NewEncoder(buffer),
		buffer:  buffer,
		writer:  writer,
	}
}

func newClientCodec(conn net.Conn) rpc.ClientCodec {
	return &clientCodec{newGobConn(conn)}
}

func newServerCodec(conn net.Conn) rpc.ServerCodec {
	return &serverCodec{newGobConn(conn)}
}

// WriteRequest queues a request. It implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	return c.write(request, body)
}

// ReadResponseHeader waits for the next response and reads its header.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	return c.decoder.Decode(response)
}

// ReadResponseBody reads the body of the response.
func (c *clientCodec) ReadResponseBody(body any) error {
	return c.decoder.Decode(body)
}

// ReadRequestHeader waits for the next request and reads its header.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	return c.decoder.Decode(request)
}

// ReadRequestBody reads the body of the request.
func (c *serverCodec) ReadRequestBody(body any) error {
	return c.decoder.Decode(body)
}

// WriteResponse queues a response. It implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	return c.write(response, body)
}

// Close closes the connection.
func (c *gobConn) Close() error { return c.writer.Close() }

// write queues one message. It closes the connection after an error, because the peer
// could not decode the rest of a partially written gob stream.
func (c *gobConn) write(header, body any) error {
	err := c.encoder.Encode(header)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		_ = c.Close()
	}
	return err
}
