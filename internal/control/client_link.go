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

// clientLink manages the connection to one address.
type clientLink struct {
	address string
	// dialSlot is a semaphore held by the caller that dials. The other callers wait for the
	// result, each up to its own deadline.
	dialSlot  chan struct{}
	mu        sync.Mutex
	conn      *rpc.Client
	lastReply time.Time
	closed    bool
}

func newClientLink(address string) *clientLink {
	return &clientLink{address: address, dialSlot: make(chan struct{}, 1)}
}

// connect returns the open connection, or dials a new one if there is none.
func (l *clientLink) connect(ctx context.Context, network transport.Network) (*rpc.Client, error) {
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	select {
	case l.dialSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.dialSlot }()
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

// current returns the open connection, or nil if there is none.
func (l *clientLink) current() *rpc.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// callError returns the error of a completed call. It closes the connection if the error
// did not come from the remote method.
func (l *clientLink) callError(conn *rpc.Client, call *rpc.Call) error {
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
	l.closeConn(conn)
	return oops.In("control").With("address", l.address, "method", call.ServiceMethod).
		Wrap(errors.Join(ErrNoAnswer, call.Error))
}

// closeIfStale closes the connection if the last successful reply, or the dial, is longer
// ago than staleConnTimeout.
func (l *clientLink) closeIfStale(conn *rpc.Client) {
	l.mu.Lock()
	stale := time.Since(l.lastReply) > staleConnTimeout
	l.mu.Unlock()
	if stale {
		l.closeConn(conn)
	}
}

// closeConn closes the connection, so that the next call dials a new one.
func (l *clientLink) closeConn(conn *rpc.Client) {
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	_ = conn.Close()
}

// close closes the connection and prevents new ones.
func (l *clientLink) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	if conn := l.current(); conn != nil {
		l.closeConn(conn)
	}
}
