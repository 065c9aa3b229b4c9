package peers

import (
	"bytes"
	"encoding/binary"
	"net/rpc"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/intake"
)

// buffer is a connection that returns what was written to it.
type buffer struct{ bytes.Buffer }

// Close implements io.Closer.
func (*buffer) Close() error { return nil }

// TestCodecRoundTrip guards against calls whose arguments change on the way.
func TestCodecRoundTrip(t *testing.T) {
	is := is.New(t)
	c := newCodec(&buffer{})
	want := Host{ID: "1", Incarnation: 7, Addr: "a", Entry: "e", Domain: "d", Cores: 0.2}
	is.NoErr(c.WriteRequest(&rpc.Request{ServiceMethod: "S.M", Seq: 9}, want))
	is.NoErr(c.WriteResponse(&rpc.Response{ServiceMethod: "S.M", Seq: 9, Error: "no"}, struct{}{}))
	var request rpc.Request
	is.NoErr(c.ReadRequestHeader(&request))
	var got Host
	is.NoErr(c.ReadRequestBody(&got))
	is.Equal(got, want)
	is.Equal(request.ServiceMethod, "S.M")
	var response rpc.Response
	is.NoErr(c.ReadResponseHeader(&response))
	is.NoErr(c.ReadResponseBody(nil))
	is.Equal(response.Error, "no")
	is.Equal(response.Seq, uint64(9))
}

// FuzzCodec guards against a message of another host that ends the process or allocates more
// than the limit.
func FuzzCodec(f *testing.F) {
	valid := newCodec(&buffer{})
	if err := valid.WriteRequest(&rpc.Request{ServiceMethod: "Turns.Begin", Seq: 1}, Host{ID: "1"}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.conn.(*buffer).Bytes())
	f.Add(binary.BigEndian.AppendUint32(nil, 1<<31))
	f.Add([]byte{0, 0, 0, 1, 0x9f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		b := &buffer{}
		b.Write(data)
		c := newCodec(b)
		var r rpc.Request
		for c.ReadRequestHeader(&r) == nil {
			var h Host
			if c.ReadRequestBody(&h) != nil {
				return
			}
		}
	})
}

// TestLengthAloneAllocatesLittle guards against a length without its message that costs as much memory as it
// names, and against messages that together exceed the memory for calls.
func TestLengthAloneAllocatesLittle(t *testing.T) {
	is := is.New(t)
	b := &buffer{}
	b.Write(binary.BigEndian.AppendUint32(nil, maxCall))
	b.Write(make([]byte, 100))
	c := newCodec(b)
	c.memory = intake.NewMemory(1 << 20)
	var r rpc.Request
	is.True(c.ReadRequestHeader(&r) != nil)
	is.Equal(c.charged, int64(firstMessageBytes))
	c.charge(0)

	b.Write(binary.BigEndian.AppendUint32(nil, maxCall))
	b.Write(make([]byte, 100))
	is.True(c.memory.Resize(0, 1<<19)) // another call
	other := newCodec(b)
	other.memory = c.memory
	is.Equal(other.ReadRequestHeader(&r), errMessageMemory)
}
