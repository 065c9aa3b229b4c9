package control

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"time"

	"github.com/samber/oops"

	"cowslipgw/internal/transport"
)

// clientLink holds the connection to one address.
type clientLink struct {
	address string
	// dialing holds one token while a caller dials, so that the others wait for the
	// result, each up to its own deadline.
	dialing   chan struct{}
	mu        sync.Mutex
	conn      *rpc.Client
	lastReply time.Time
	closed    bool
}

func newClientLink(address string) *clientLink {
	return &clientLink{address: address, dialing: make(chan struct{}, 1)}
}

// connect returns the open connection or dials a new one.
func (l *clientLink) connect(ctx context.Context, network transport.Network) (*rpc.Client, error) {
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	select {
	case l.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.dialing }()
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	raw, err := network.Dial(ctx, l.address)
	if err != nil {
		return nil, err
	}
	conn := rpc.NewClientWithCodec(newClientCodec(raw))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
		return nil, ErrUnreachable
	}
	l.conn = conn
	l.lastReply = time.Now()
	return conn, nil
}

func (l *clientLink) current() *rpc.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// outcome turns a finished call into an error value and drops a broken connection.
func (l *clientLink) outcome(conn *rpc.Client, call *rpc.Call) error {
	if call.Error == nil {
		l.mu.Lock()
		l.lastReply = time.Now()
		l.mu.Unlock()
		return nil
	}
	var serverError rpc.ServerError
	if errors.As(call.Error, &serverError) {
		return serverError
	}
	l.drop(conn)
	return oops.In("control").With("address", l.address, "method", call.ServiceMethod).
		Wrap(errors.Join(ErrNoAnswer, call.Error))
}

// dropIfStale closes a connection whose peer has not answered for long.
func (l *clientLink) dropIfStale(conn *rpc.Client) {
	l.mu.Lock()
	stale := time.Since(l.lastReply) > staleAfter
	l.mu.Unlock()
	if stale {
		l.drop(conn)
	}
}

func (l *clientLink) drop(conn *rpc.Client) {
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	_ = conn.Close()
}

func (l *clientLink) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	if conn := l.current(); conn != nil {
		l.drop(conn)
	}
}
