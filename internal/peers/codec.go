package peers

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/rpc"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// maxCall is the maximum size of one call or reply between hosts, in bytes. The largest is the
// history of a program.
const maxCall = 16 << 20

// callHeader precedes the arguments of a call and the result of a reply.
type callHeader struct {
	_        struct{} `cbor:",toarray"`
	Method   string
	Sequence uint64
	// Error is the error of a failed call; empty otherwise.
	Error string
}

// codec encodes calls between hosts as CBOR. Unlike gob, it sends and compiles no type
// descriptions on each new connection, of which a large fleet opens many. Each message is a
// frame of its length (4 bytes, big endian), a callHeader and a body. It implements
// rpc.ClientCodec and rpc.ServerCodec.
type codec struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	// body is the rest of the message whose header was read last.
	body []byte

	writeMu sync.Mutex
}

func newCodec(conn io.ReadWriteCloser) *codec {
	return &codec{conn: conn, reader: bufio.NewReader(conn)}
}

// read reads the next message up to its body.
func (c *codec) read() (callHeader, error) {
	var header callHeader
	var length [4]byte
	if _, err := io.ReadFull(c.reader, length[:]); err != nil {
		return header, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxCall {
		return header, oops.Errorf("message of %d bytes exceeds the limit", size)
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(c.reader, message); err != nil {
		return header, err
	}
	rest, err := cbor.UnmarshalFirst(message, &header)
	c.body = rest
	return header, err
}

// readBody decodes the body of the last message; a nil target discards it.
func (c *codec) readBody(target any) error {
	if target == nil {
		return nil
	}
	return cbor.Unmarshal(c.body, target)
}

// write sends one message.
func (c *codec) write(header callHeader, body any) error {
	head, err := cbor.Marshal(header)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	message := make([]byte, 4, 4+len(head)+len(encoded))
	binary.BigEndian.PutUint32(message, uint32(len(head)+len(encoded)))
	message = append(append(message, head...), encoded...)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err = c.conn.Write(message)
	return err
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(r *rpc.Request, args any) error {
	return c.write(callHeader{Method: r.ServiceMethod, Sequence: r.Seq}, args)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(r *rpc.Response) error {
	header, err := c.read()
	r.ServiceMethod, r.Seq, r.Error = header.Method, header.Sequence, header.Error
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(reply any) error { return c.readBody(reply) }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	header, err := c.read()
	r.ServiceMethod, r.Seq = header.Method, header.Sequence
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(args any) error { return c.readBody(args) }

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, reply any) error {
	return c.write(callHeader{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}, reply)
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *codec) Close() error { return c.conn.Close() }
