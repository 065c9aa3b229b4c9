package peers

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"
)

// TestBrokenAnswersOfHosts guards against an answer of another host that is cut or none and looks whole, or like a
// refusal of the call.
func TestBrokenAnswersOfHosts(t *testing.T) {
	whole := &buffer{}
	if err := newCodec(whole).WriteResponse(&rpc.Response{ServiceMethod: "S.M"}, Host{ID: "1", Addr: "a"}); err != nil {
		t.Fatal(err)
	}
	refusal := &buffer{}
	if err := newCodec(refusal).WriteResponse(&rpc.Response{ServiceMethod: "S.M", Error: "refused"}, struct{}{}); err != nil {
		t.Fatal(err)
	}
	frame := whole.Bytes()
	longer := append(append([]byte(nil), frame...), 0)
	binary.BigEndian.PutUint32(longer, uint32(len(longer)-4))
	answers := [][]byte{longer, binary.BigEndian.AppendUint32(nil, 1<<31), {0, 0, 0, 1, 0x9f}, []byte("HTTP/1.1 200 OK\r\n\r\n")}
	for cut := range len(frame) {
		answers = append(answers, frame[:cut])
	}
	for cut := range refusal.Len() {
		answers = append(answers, refusal.Bytes()[:cut])
	}
	for _, answer := range answers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if conn, err := listener.Accept(); err == nil {
				_, _ = io.ReadFull(conn, make([]byte, 8))
				_, _ = conn.Write(answer)
				_ = conn.Close()
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		caller := NewCaller(NewTable(Host{ID: "0"}, func() bool { return true }))
		err = caller.Call(ctx, Host{ID: "1", Addr: listener.Addr().String()}, "S.M", Host{ID: "0"}, &Host{})
		cancel()
		var refused rpc.ServerError
		if err == nil || errors.As(err, &refused) || ctx.Err() == context.DeadlineExceeded {
			t.Errorf("%q: error %v", answer, err)
		}
		_ = listener.Close()
	}
}
