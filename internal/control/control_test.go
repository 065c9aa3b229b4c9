package control_test

import (
	"context"
	"errors"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/control"
	"cowslipgw/internal/transport"
)

// echo is an RPC service with methods that succeed, fail and time out.
type echo struct{}

func (echo) Same(args *[]byte, reply *[]byte) error {
	*reply = *args
	return nil
}

func (echo) Fail(*[]byte, *[]byte) error { return errors.New("no") }

func (echo) Slow(*[]byte, *[]byte) error {
	time.Sleep(time.Minute)
	return nil
}

func serve(t *testing.T) (*transport.Memory, *control.Client) {
	t.Helper()
	network := transport.NewMemory()
	server := control.NewServer()
	if err := server.Register("Echo", echo{}); err != nil {
		t.Fatal(err)
	}
	listener, err := network.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:7000")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	client := control.NewClient(network.Host("10.0.0.2"))
	t.Cleanup(func() {
		listener.Close()
		client.Close()
		server.Close()
	})
	return network, client
}

func call(client *control.Client, method string, size int, limit time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	args, reply := make([]byte, size), []byte(nil)
	err := client.Call(ctx, "10.0.0.1:7000", method, &args, &reply)
	return len(reply), err
}

// TestCallOutcomes guards against errors that do not tell callers whether a call was
// executed, may have been executed, or was never sent.
func TestCallOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, client := serve(t)
		size, err := call(client, "Echo.Same", 10, time.Second)
		is.NoErr(err)
		is.Equal(size, 10)
		_, err = call(client, "Echo.Fail", 0, time.Second)
		var refused rpc.ServerError
		is.True(errors.As(err, &refused))
		_, err = call(client, "Echo.Slow", 0, time.Second)
		is.True(errors.Is(err, control.ErrNoAnswer))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		args := []byte(nil)
		err = client.Call(ctx, "10.0.0.1:7001", "Echo.Same", &args, &args)
		is.True(errors.Is(err, control.ErrUnreachable))
	})
}

// TestCallsToCutHost guards against callers that are blocked past their deadline by other
// callers that dial or write to an unresponsive host.
func TestCallsToCutHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network, client := serve(t)
		_, err := call(client, "Echo.Same", 10, time.Second)
		is.NoErr(err)
		network.CutBoth("10.0.0.1", "10.0.0.2")
		start := time.Now()
		errs := make(chan error)
		for range 10 {
			go func() {
				_, err := call(client, "Echo.Same", 200<<10, time.Second)
				errs <- err
			}()
		}
		for range 10 {
			is.True(errors.Is(<-errs, control.ErrNoAnswer))
		}
		is.Equal(time.Since(start), time.Second)
		time.Sleep(10 * time.Second)
		_, err = call(client, "Echo.Same", 10, time.Second)
		is.True(err != nil)
		start = time.Now()
		for range 10 {
			go func() {
				_, err := call(client, "Echo.Same", 10, time.Second)
				errs <- err
			}()
		}
		for range 10 {
			is.True(errors.Is(<-errs, control.ErrUnreachable))
		}
		is.Equal(time.Since(start), time.Second)
		network.Restore("10.0.0.1", "10.0.0.2")
		time.Sleep(3 * time.Second)
		size, err := call(client, "Echo.Same", 300<<10, time.Second)
		is.NoErr(err)
		is.Equal(size, 300<<10)
	})
}

// TestRetain guards against a client that cannot reconnect after Retain closed its
// connection, and against calls that succeed after Close.
func TestRetain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, client := serve(t)
		_, err := call(client, "Echo.Same", 1, time.Second)
		is.NoErr(err)
		client.Retain(func(string) bool { return false })
		_, err = call(client, "Echo.Same", 1, time.Second)
		is.NoErr(err)
		client.Close()
		_, err = call(client, "Echo.Same", 1, time.Second)
		is.True(errors.Is(err, control.ErrUnreachable))
	})
}
