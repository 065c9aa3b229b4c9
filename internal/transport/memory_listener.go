package transport

import (
	"context"
	"net"
	"sync"
)

// acceptBacklog is the number of connections that can wait for Accept. Further dials
// block.
const acceptBacklog = 128

// memoryListener is a net.Listener of a Memory network.
type memoryListener struct {
	network *Memory
	address string
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func newMemoryListener(m *Memory, address string) *memoryListener {
	return &memoryListener{
		network: m,
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

// Close stops listening and releases the address. Accepted connections stay open.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr returns the address of the listener.
func (l *memoryListener) Addr() net.Addr {
	return memoryAddr(l.address)
}

// enqueue adds a connection to the accept queue.
func (l *memoryListener) enqueue(ctx context.Context, conn net.Conn) error {
	select {
	case l.queue <- conn:
		return nil
	case <-l.closed:
		return ErrRefused
	case <-ctx.Done():
		return ctx.Err()
	}
}

// memoryAddr is a net.Addr of the form "ip:port" on a Memory network.
type memoryAddr string

// Network returns "memory".
func (memoryAddr) Network() string { return "memory" }

// String returns the address in the form "ip:port".
func (a memoryAddr) String() string { return string(a) }
