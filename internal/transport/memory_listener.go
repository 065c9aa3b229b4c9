package transport

import (
	"context"
	"net"
	"sync"
)

// acceptBacklog is how many connections wait for Accept.
const acceptBacklog = 128

// memoryListener is a net.Listener of a Memory network.
type memoryListener struct {
	net     *Memory
	address string
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func newMemoryListener(m *Memory, address string) *memoryListener {
	return &memoryListener{
		net:     m,
		address: address,
		queue:   make(chan net.Conn, acceptBacklog),
		closed:  make(chan struct{}),
	}
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case conn := <-l.queue:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address. Connections that were accepted stay open.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		l.net.mu.Unlock()
	})
	return nil
}

// Addr returns the address that callers dial.
func (l *memoryListener) Addr() net.Addr {
	return memoryAddr(l.address)
}

func (l *memoryListener) deliver(ctx context.Context, conn net.Conn) error {
	select {
	case l.queue <- conn:
		return nil
	case <-l.closed:
		return ErrRefused
	case <-ctx.Done():
		return ctx.Err()
	}
}

// memoryAddr is the "ip:port" address of a Memory network.
type memoryAddr string

// Network returns "memory".
func (memoryAddr) Network() string { return "memory" }

// String returns the "ip:port" form.
func (a memoryAddr) String() string { return string(a) }
