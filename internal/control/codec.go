package control

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
)

// clientCodec and serverCodec are the gob codecs of net/rpc with writes that do
// not block: net/rpc holds a lock while it writes, so one peer that does not read
// would otherwise hold up every caller past its deadline.
type clientCodec struct {
	gobStream
}

type serverCodec struct {
	gobStream
}

// gobStream is one connection with gob messages in both directions.
type gobStream struct {
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	writer  *queueWriter
}

func newGobStream(conn net.Conn) gobStream {
	writer := newQueueWriter(conn)
	buffer := bufio.NewWriter(writer)
	return gobStream{
		decoder: gob.NewDecoder(bufio.NewReader(conn)),
		encoder: gob.NewEncoder(buffer),
		buffer:  buffer,
		writer:  writer,
	}
}

func newClientCodec(conn net.Conn) rpc.ClientCodec {
	return &clientCodec{newGobStream(conn)}
}

func newServerCodec(conn net.Conn) rpc.ServerCodec {
	return &serverCodec{newGobStream(conn)}
}

// WriteRequest queues a request.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	return c.write(request, body)
}

// ReadResponseHeader waits for the next answer.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	return c.decoder.Decode(response)
}

// ReadResponseBody reads the answer's body.
func (c *clientCodec) ReadResponseBody(body any) error {
	return c.decoder.Decode(body)
}

// ReadRequestHeader waits for the next request.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	return c.decoder.Decode(request)
}

// ReadRequestBody reads the request's body.
func (c *serverCodec) ReadRequestBody(body any) error {
	return c.decoder.Decode(body)
}

// WriteResponse queues an answer.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	return c.write(response, body)
}

// Close closes the connection.
func (s *gobStream) Close() error { return s.writer.Close() }

// write queues one message. After an error the stream of gob types is broken, so
// the connection is closed.
func (s *gobStream) write(header, body any) error {
	err := s.encoder.Encode(header)
	if err == nil {
		err = s.encoder.Encode(body)
	}
	if err == nil {
		err = s.buffer.Flush()
	}
	if err != nil {
		_ = s.Close()
	}
	return err
}
