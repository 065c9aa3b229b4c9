package transport

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// memoryBuffer is how many bytes one direction of a connection holds before a
// write blocks.
const memoryBuffer = 256 << 10

// memoryConn is one end of an in-memory connection.
type memoryConn struct {
	net               *Memory
	local, remote     string
	localIP, remoteIP string
	in, out           *memoryPipe
	closeOnce         sync.Once
}

func newMemoryPair(m *Memory, local, remote string) (client, server *memoryConn) {
	localIP, remoteIP := hostOf(local), hostOf(remote)
	up := newMemoryPipe(m, localIP, remoteIP)
	down := newMemoryPipe(m, remoteIP, localIP)
	client = &memoryConn{net: m, local: local, remote: remote, localIP: localIP, remoteIP: remoteIP, in: down, out: up}
	server = &memoryConn{net: m, local: remote, remote: local, localIP: remoteIP, remoteIP: localIP, in: up, out: down}
	m.mu.Lock()
	up.sent, down.sent = m.counterLocked(localIP), m.counterLocked(remoteIP)
	m.conns[client] = struct{}{}
	m.conns[server] = struct{}{}
	m.mu.Unlock()
	return client, server
}

// Read returns bytes that the other end wrote, after the link's delay.
func (c *memoryConn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write queues bytes for the other end.
func (c *memoryConn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close closes both directions. The other end reads what was already sent and
// then io.EOF.
func (c *memoryConn) Close() error {
	c.closeOnce.Do(func() {
		c.out.closeWrite()
		c.in.closeRead()
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
	})
	return nil
}

// CloseWrite closes the sending direction, as a half-closed TCP connection does.
func (c *memoryConn) CloseWrite() error {
	c.out.closeWrite()
	return nil
}

// LocalAddr returns this end's address.
func (c *memoryConn) LocalAddr() net.Addr { return memoryAddr(c.local) }

// RemoteAddr returns the other end's address.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.remote) }

// SetDeadline sets both deadlines.
func (c *memoryConn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline sets the time after which Read fails.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline sets the time after which Write fails.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

func (c *memoryConn) wake() {
	c.in.wake()
	c.out.wake()
}

// chunk is a run of bytes that may be read from a given time on.
type chunk struct {
	data  []byte
	ready time.Time
}

// memoryPipe is one direction of a connection.
type memoryPipe struct {
	net       *Memory
	from, to  string
	sent      *atomic.Int64
	mu        sync.Mutex
	changed   chan struct{}
	chunks    []chunk
	buffered  int
	writeDone bool
	readDone  bool
	readEnd   time.Time
	writeEnd  time.Time
}

func newMemoryPipe(m *Memory, from, to string) *memoryPipe {
	return &memoryPipe{net: m, from: from, to: to, changed: make(chan struct{})}
}

func (p *memoryPipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broadcastLocked()
}

// broadcastLocked wakes every reader and writer that waits.
func (p *memoryPipe) broadcastLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *memoryPipe) closeWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDone = true
	p.broadcastLocked()
}

func (p *memoryPipe) closeRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDone = true
	p.chunks = nil
	p.broadcastLocked()
}

func (p *memoryPipe) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readEnd = t
	p.broadcastLocked()
}

func (p *memoryPipe) setWriteDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeEnd = t
	p.broadcastLocked()
}

func (p *memoryPipe) write(b []byte) (int, error) {
	delay := p.net.delayOf(p.from, p.to)
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.buffered >= memoryBuffer && !p.writeDone && !p.readDone {
		if expired(p.writeEnd) {
			return 0, os.ErrDeadlineExceeded
		}
		p.waitLocked(p.writeEnd)
	}
	switch {
	case p.writeDone:
		return 0, net.ErrClosed
	case p.readDone:
		return 0, io.ErrClosedPipe
	case expired(p.writeEnd):
		return 0, os.ErrDeadlineExceeded
	}
	data := append([]byte(nil), b...)
	p.chunks = append(p.chunks, chunk{data: data, ready: time.Now().Add(delay)})
	p.buffered += len(data)
	p.sent.Add(int64(len(data)))
	p.broadcastLocked()
	return len(b), nil
}

func (p *memoryPipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.readDone {
			return 0, net.ErrClosed
		}
		if expired(p.readEnd) {
			return 0, os.ErrDeadlineExceeded
		}
		cut := p.net.IsCut(p.from, p.to)
		wakeAt := p.readEnd
		if !cut && len(p.chunks) > 0 {
			if ready := p.chunks[0].ready; time.Now().Before(ready) {
				wakeAt = earlier(wakeAt, ready)
			} else {
				return p.takeLocked(b), nil
			}
		}
		if !cut && len(p.chunks) == 0 && p.writeDone {
			return 0, io.EOF
		}
		p.waitLocked(wakeAt)
	}
}

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

// waitLocked releases the lock until something changes or the time comes. The
// zero time means no limit.
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

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
