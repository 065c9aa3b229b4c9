package control_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"cowslipgw/internal/control"
	"cowslipgw/internal/transport"
)

// TestCutAnswers guards against an answer of another host that is cut and looks whole, or like a call without effect.
func TestCutAnswers(t *testing.T) {
	server := control.NewServer()
	if err := server.Register("Echo", echo{}); err != nil {
		t.Fatal(err)
	}
	host, err := transport.TCP{}.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(host)
	defer func() {
		host.Close()
		server.Close()
	}()
	// answerUpTo calls the host over a connection that ends after so many bytes of the answer.
	answerUpTo := func(limit int64) error {
		proxy, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer proxy.Close()
		go func() {
			caller, err := proxy.Accept()
			if err != nil {
				return
			}
			defer caller.Close()
			target, err := net.Dial("tcp", host.Addr().String())
			if err != nil {
				return
			}
			defer target.Close()
			go func() { _, _ = io.Copy(target, caller) }()
			_, _ = io.CopyN(caller, target, limit)
		}()
		client := control.NewClient(transport.TCP{})
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		args, reply := make([]byte, 20), []byte(nil)
		return client.Call(ctx, proxy.Addr().String(), "Echo.Same", &args, &reply)
	}
	var length int64
	for err = errors.New("no call"); err != nil && length < 1000; length++ {
		if err = answerUpTo(length); err != nil && (!errors.Is(err, control.ErrNoAnswer) || errors.Is(err, control.ErrUnreachable)) {
			t.Errorf("after %d bytes: error %v", length, err)
		}
	}
	if err != nil || length < 20 {
		t.Fatalf("answer of %d bytes: error %v", length, err)
	}
}
