package peers

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"cowslipgw/internal/intake"
)

// maxCall is the maximum size of one call or reply between hosts, in bytes. The largest is the
// history of a program.
const maxCall = 16 << 20

const (
	// firstMessageBytes is what is allocated for a message before its bytes arrive: a length alone
	// must not cost more.
	firstMessageBytes = 64 << 10
	// messageTimeout limits the time from the length of a call to its last byte. Hosts may be paused
	// for seconds while they send.
	messageTimeout = 10 * time.Second
)

// errMessageMemory is returned for a call that does not fit into the memory for calls.
var errMessageMemory = errors.New("no memory for a call of another host")

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
	// memory limits the messages that are being received; nil for no limit. charged is what this
	// connection holds of it.
	memory  *intake.Memory
	charged int64

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
	message, err := c.readMessage(int(size))
	if err != nil {
		return header, err
	}
	rest, err := cbor.UnmarshalFirst(message, &header)
	c.body = rest
	return header, err
}

// readMessage reads a message of the given size. Memory is allocated as its bytes arrive.
func (c *codec) readMessage(size int) ([]byte, error) {
	if conn, ok := c.conn.(net.Conn); ok && c.memory != nil {
		if err := conn.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
			return nil, err
		}
		// The connection fails at the next read if this does.
		defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	}
	var message []byte
	for len(message) < size {
		grown := min(max(firstMessageBytes, 2*len(message)), size)
		// Both buffers are in memory while the message is copied.
		if !c.charge(int64(len(message) + grown)) {
			return nil, errMessageMemory
		}
		read := len(message)
		message = append(make([]byte, 0, grown), message...)[:grown]
		if _, err := io.ReadFull(c.reader, message[read:]); err != nil {
			return nil, err
		}
	}
	return message, nil
}

// charge changes what the connection holds of its memory. It reports whether there is room.
func (c *codec) charge(bytes int64) bool {
	if c.memory == nil {
		return true
	}
	if !c.memory.Resize(c.charged, bytes) {
		return false
	}
	c.charged = bytes
	return true
}

// readBody decodes the body of the last message; a nil target discards it.
func (c *codec) readBody(target any) error {
	defer func() {
		c.body = nil
		c.charge(0)
	}()
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
