package transport

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// memoryBufferSize is the number of unread bytes in one direction of a connection at
// which writes block.
const memoryBufferSize = 256 << 10

// memoryConn is one end of an in-memory connection.
type memoryConn struct {
	network           *Memory
	local, remote     string
	localIP, remoteIP string
	in, out           *memoryPipe
	closeOnce         sync.Once
}

func newMemoryPair(m *Memory, local, remote string) (client, server *memoryConn) {
	localIP, remoteIP := ipOf(local), ipOf(remote)
	up := newMemoryPipe(m, localIP, remoteIP)
	down := newMemoryPipe(m, remoteIP, localIP)
	client = &memoryConn{network: m, local: local, remote: remote, localIP: localIP, remoteIP: remoteIP, in: down, out: up}
	server = &memoryConn{network: m, local: remote, remote: local, localIP: remoteIP, remoteIP: localIP, in: up, out: down}
	m.mu.Lock()
	up.sent, down.sent = m.counterLocked(localIP), m.counterLocked(remoteIP)
	m.conns[client] = struct{}{}
	m.conns[server] = struct{}{}
	m.mu.Unlock()
	return client, server
}

// Read reads bytes that the peer wrote, once the delay of the link has passed.
func (c *memoryConn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write queues bytes for the peer.
func (c *memoryConn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close closes both directions. The peer can still read the bytes in flight and then gets
// io.EOF.
func (c *memoryConn) Close() error {
	c.closeOnce.Do(func() {
		c.out.closeWrite()
		c.in.closeRead()
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return nil
}

// CloseWrite closes the sending direction, which leaves the connection half-closed as
// with TCP.
func (c *memoryConn) CloseWrite() error {
	c.out.closeWrite()
	return nil
}

// LocalAddr returns the local address.
func (c *memoryConn) LocalAddr() net.Addr { return memoryAddr(c.local) }

// RemoteAddr returns the address of the peer.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.remote) }

// SetDeadline sets the read and write deadlines.
func (c *memoryConn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline sets the deadline of Read calls.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline sets the deadline of Write calls.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

func (c *memoryConn) wake() {
	c.in.wake()
	c.out.wake()
}

// chunk holds bytes that become readable at readyAt.
type chunk struct {
	data    []byte
	readyAt time.Time
}

// memoryPipe is one direction of a connection.
type memoryPipe struct {
	network       *Memory
	from, to      string
	sent          *atomic.Int64
	mu            sync.Mutex
	changed       chan struct{}
	chunks        []chunk
	buffered      int
	writeClosed   bool
	readClosed    bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newMemoryPipe(m *Memory, from, to string) *memoryPipe {
	return &memoryPipe{network: m, from: from, to: to, changed: make(chan struct{})}
}

func (p *memoryPipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broadcastLocked()
}

// broadcastLocked wakes all waiting readers and writers.
func (p *memoryPipe) broadcastLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *memoryPipe) closeWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeClosed = true
	p.broadcastLocked()
}

func (p *memoryPipe) closeRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readClosed = true
	p.chunks = nil
	p.broadcastLocked()
}

func (p *memoryPipe) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	p.broadcastLocked()
}

func (p *memoryPipe) setWriteDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDeadline = t
	p.broadcastLocked()
}

func (p *memoryPipe) write(b []byte) (int, error) {
	delay := p.network.delayOf(p.from, p.to)
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.buffered >= memoryBufferSize && !p.writeClosed && !p.readClosed {
		if expired(p.writeDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		p.waitLocked(p.writeDeadline)
	}
	switch {
	case p.writeClosed:
		return 0, net.ErrClosed
	case p.readClosed:
		return 0, io.ErrClosedPipe
	case expired(p.writeDeadline):
		return 0, os.ErrDeadlineExceeded
	}
	data := append([]byte(nil), b...)
	p.chunks = append(p.chunks, chunk{data: data, readyAt: time.Now().Add(delay)})
	p.buffered += len(data)
	p.sent.Add(int64(len(data)))
	p.broadcastLocked()
	return len(b), nil
}

func (p *memoryPipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.readClosed {
			return 0, net.ErrClosed
		}
		if expired(p.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		cut := p.network.IsCut(p.from, p.to)
		wakeAt := p.readDeadline
		if !cut && len(p.chunks) > 0 {
			if ready := p.chunks[0].readyAt; time.Now().Before(ready) {
				wakeAt = earlier(wakeAt, ready)
			} else {
				return p.takeLocked(b), nil
			}
		}
		if !cut && len(p.chunks) == 0 && p.writeClosed {
			return 0, io.EOF
		}
		p.waitLocked(wakeAt)
	}
}

// takeLocked moves bytes of the first chunk into b and returns their number.
func (p *memoryPipe) takeLocked(b []byte) int {
	n := copy(b, p.chunks[0].data)
	p.chunks[0].data = p.chunks[0].data[n:]
	if len(p.chunks[0].data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.buffered -= n
	p.broadcastLocked()
	return n
}

// waitLocked releases the lock, waits for a broadcast or until the given time, and locks
// again. The zero time means no limit.
func (p *memoryPipe) waitLocked(until time.Time) {
	changed := p.changed
	p.mu.Unlock()
	defer p.mu.Lock()
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func expired(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// earlier returns the earlier of two deadlines. A zero a means no deadline.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
