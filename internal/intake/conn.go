package intake

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	// phaseIdle: the first byte of a head is awaited.
	phaseIdle phase = iota
	// phaseHead: a head is being received.
	phaseHead
	// phaseBusy: net/http has a request of the connection that is not finished.
	phaseBusy
	phaseClosed
)

// tcpConn is the part of net.TCPConn that is used.
type tcpConn interface {
	net.Conn
	CloseWrite() error
}

// Conn is a connection to a Listener. Heads are held back until they are complete. Read is called by
// one goroutine at a time, as net/http does.
type Conn struct {
	tcpConn
	listener *Listener
	// addr is the IP address of the other end.
	addr string

	// Fields below are used by Read only.

	// buf holds received bytes that were not passed on. The first ready of them may be; if none may,
	// the first scanned of them belong to an unfinished head.
	buf     []byte
	ready   int
	scanned int
	head    headScanner
	body    bodyScanner
	// passed is a first byte of a head that was passed on while a request was in progress.
	passed []byte
	// headStart is when the first byte of the head arrived.
	headStart time.Time
	// err is returned by all further reads.
	err error

	// discards is set if what is still received is not a request.
	discards atomic.Bool

	// mu guards the fields below. It is locked after Listener.mu and before Memory.mu.
	mu    sync.Mutex
	phase phase
	// idleSince is when the connection became idle.
	idleSince time.Time
	// headBytes is how far the head has advanced.
	headBytes int
	// evicted is why the connection is to be closed; empty if it is not.
	evicted cause
	// lingers is set once an answer was written to a caller that may still be sending.
	lingers bool
	// charged is what the connection holds of the listener's memory, of which headCharge belongs to
	// the head of the request in progress.
	charged, headCharge int64
	// element is the position in the listener's list of idle connections.
	element *idleElement
}

// errLimit is returned by reads of connections that are closed for a limit. net/http answers nothing to
// errors of this type.
var errLimit = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("connection exceeds a limit of this host")}

// Read implements net.Conn. It returns bytes of complete heads and of bodies.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 || c.listener.raw || c.discards.Load() {
		return c.tcpConn.Read(p)
	}
	for {
		if n := c.take(p); n > 0 {
			return n, nil
		}
		if c.err != nil {
			return 0, c.err
		}
		if c.scanned < len(c.buf) {
			c.passBuffered()
			continue
		}
		n, err := c.receive(p)
		if n > 0 {
			return n, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// take moves bytes that may be passed on from the buffer to p.
func (c *Conn) take(p []byte) int {
	n := copy(p, c.buf[:c.ready])
	if n == 0 {
		return 0
	}
	c.ready -= n
	c.buf = c.buf[n:]
	if len(c.buf) == 0 {
		c.buf = nil
		c.resize(func() int64 { return c.headCharge })
	}
	return n
}

// passBuffered scans buffered bytes that were not scanned yet.
func (c *Conn) passBuffered() {
	skip, n, err := c.pass(c.buf, c.scanned)
	c.ready, c.err, c.scanned = n, err, 0
	if err != nil && n == 0 {
		c.buf = nil // a refusal has released it
		return
	}
	c.buf = c.buf[skip:]
	switch {
	case len(c.buf) == 0:
		c.buf = nil
		c.resize(func() int64 { return c.headCharge })
	case n == 0:
		c.scanned = len(c.buf)
	}
}

// receive reads from the connection. It returns the number of bytes in p that may be passed on; other bytes go
// to the buffer.
func (c *Conn) receive(p []byte) (int, error) {
	if err := c.setHeadDeadline(); err != nil {
		return 0, err
	}
	if len(c.buf) == 0 {
		n, err := c.tcpConn.Read(p)
		if n == 0 {
			return 0, c.readError(err)
		}
		skip, passed, refused := c.pass(p[:n], 0)
		rest := p[skip+passed : n]
		copy(p, p[skip:skip+passed])
		if refused != nil {
			c.err = refused
			return passed, nil
		}
		if len(rest) > 0 && !c.keep(rest) {
			c.err = c.refuseUnlessBusy(causeHeadMemory)
		}
		if passed == 0 {
			c.scanned = len(c.buf)
		}
		return passed, nil
	}
	if len(c.buf) == cap(c.buf) && !c.grow(2*cap(c.buf)) {
		c.err = c.refuseUnlessBusy(causeHeadMemory)
		return 0, nil
	}
	size := len(c.buf)
	n, err := c.tcpConn.Read(c.buf[size:cap(c.buf)])
	if n == 0 {
		return 0, c.readError(err)
	}
	c.buf = c.buf[:size+n]
	return 0, nil
}

// keep copies bytes to the empty buffer. It reports whether there is memory for it.
func (c *Conn) keep(rest []byte) bool {
	const minBuffer = 512
	if !c.grow(max(len(rest), minBuffer)) {
		return false
	}
	c.buf = append(c.buf, rest...)
	return true
}

// grow enlarges the buffer. It reports whether there is memory for it.
func (c *Conn) grow(size int) bool {
	if !c.resize(func() int64 { return c.headCharge + int64(size) }) {
		return false
	}
	c.buf = append(make([]byte, 0, size), c.buf...)
	return true
}

// resize changes what the connection holds of the listener's memory.
func (c *Conn) resize(to func() int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := to()
	if c.phase == phaseClosed {
		bytes = 0
	}
	if bytes == c.charged {
		return true
	}
	if !c.listener.memory.Resize(c.charged, bytes) {
		return false
	}
	c.charged = bytes
	return true
}

// pass scans data, of which the first scanned bytes were scanned before. It returns the number of
// bytes to drop at the start, and the number of bytes after them that may be passed on.
func (c *Conn) pass(data []byte, scanned int) (skip, n int, err error) {
	if !c.body.ended() {
		n, err := c.body.scan(data)
		if err != nil {
			c.listener.reporter.note(causeBodyMalformed)
			return 0, n, errLimit
		}
		return 0, n, nil
	}
	if c.head.bytes == 0 {
		var ok bool
		if skip, ok = c.head.skipLeading(data); !ok && !c.isBusy() {
			return skip, 0, c.refuse(causeHeadMalformed)
		}
		data = data[skip:]
		if len(data) == 0 {
			return skip, 0, nil
		}
	}
	if c.isBusy() {
		// net/http reads one byte ahead to notice the end of the connection.
		if len(c.passed) > 0 {
			return skip, 0, errLimit
		}
		c.passed = append(c.passed, data[0])
		c.head.scan(data[:1])
		return skip, 1, nil
	}
	c.beginHead()
	n, complete := c.head.scan(data[scanned:])
	size := scanned + n
	c.advance(c.head.bytes)
	limits := c.listener.limits()
	headBytes := c.head.bytes
	if complete {
		headBytes -= len("\r\n")
	}
	switch {
	case headBytes > limits.HeaderBytes:
		return skip, 0, c.refuse(causeHeadBytes)
	case !complete:
		return skip, 0, nil
	}
	head := data[:size]
	if len(c.passed) > 0 {
		head = append(c.passed, head...)
	}
	f, refused := parseFraming(head)
	if refused != "" {
		return skip, 0, c.refuse(refused)
	}
	if !c.admit(costOf(c.head.bytes, c.head.lines)) {
		return skip, 0, c.refuse(causeHeadMemory)
	}
	c.head, c.passed, c.body = headScanner{}, nil, newBodyScanner(f)
	bodyBytes, err := c.body.scan(data[size:])
	if err != nil {
		c.listener.reporter.note(causeBodyMalformed)
		return skip, size + bodyBytes, errLimit
	}
	return skip, size + bodyBytes, nil
}

func (c *Conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseBusy
}

// beginHead records the first byte of a head. A request whose first byte was received is no longer evicted as
// idle.
func (c *Conn) beginHead() {
	c.mu.Lock()
	idle := c.phase == phaseIdle
	if idle {
		c.phase = phaseHead
		c.evicted = ""
		c.headStart = time.Now()
	}
	c.mu.Unlock()
	if idle {
		c.listener.notIdle(c)
	}
}

func (c *Conn) advance(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headBytes = bytes
}

// admit charges the cost of a complete head. It reports whether there is memory for it.
func (c *Conn) admit(cost int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	if !c.listener.memory.Resize(c.charged, c.charged+cost) {
		return false
	}
	c.charged += cost
	c.headCharge = cost
	c.phase = phaseBusy
	c.headBytes = 0
	c.evicted = ""
	return true
}

// requestDone records that net/http has finished the request and awaits the next one.
func (c *Conn) requestDone() {
	c.mu.Lock()
	if c.phase != phaseBusy {
		c.mu.Unlock()
		return
	}
	c.phase = phaseIdle
	c.idleSince = time.Now()
	c.listener.memory.Resize(c.charged, c.charged-c.headCharge)
	c.charged -= c.headCharge
	c.headCharge = 0
	c.mu.Unlock()
	c.listener.idle(c)
}

// setHeadDeadline sets the read deadline of an idle connection or of a head.
func (c *Conn) setHeadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := c.listener.limits()
	switch {
	case c.evicted != "":
		return nil // the deadline has passed
	case c.phase == phaseIdle:
		return c.tcpConn.SetReadDeadline(c.idleSince.Add(limits.IdleTimeout))
	case c.phase == phaseHead:
		return c.tcpConn.SetReadDeadline(c.headStart.Add(limits.HeaderTimeout))
	}
	return nil
}

// readError decides about a failed read. It returns nil if the read is to be repeated.
func (c *Conn) readError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.mu.Lock()
	limits, now := c.listener.limits(), time.Now()
	phase, evicted := c.phase, c.evicted
	// The limits may have changed since the deadline was set.
	early := phase == phaseIdle && now.Before(c.idleSince.Add(limits.IdleTimeout)) ||
		phase == phaseHead && now.Before(c.headStart.Add(limits.HeaderTimeout))
	c.mu.Unlock()
	switch {
	case phase != phaseIdle && phase != phaseHead:
		return err
	case evicted != "":
		c.err = c.refuse(evicted)
	case early:
		return nil
	case phase == phaseIdle:
		c.listener.reporter.note(causeIdle)
		c.err = errLimit
	default:
		c.err = c.refuse(causeHeadTime)
	}
	return c.err
}

// SetReadDeadline implements net.Conn. While no request is in progress, the limits of the listener apply
// instead.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listener.raw && (c.phase == phaseIdle || c.phase == phaseHead) {
		return nil
	}
	return c.tcpConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the sending direction. No further request can be answered after that.
func (c *Conn) CloseWrite() error {
	c.discards.Store(true)
	return c.tcpConn.CloseWrite()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	lingers := c.lingers
	c.lingers = false
	c.mu.Unlock()
	if lingers && c.listener.mayLinger() {
		go c.linger()
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection and returns what it holds.
func (c *Conn) closeNow() error {
	c.mu.Lock()
	if c.phase == phaseClosed {
		c.mu.Unlock()
		return c.tcpConn.Close()
	}
	c.phase = phaseClosed
	c.listener.memory.Resize(c.charged, 0)
	c.charged, c.headCharge = 0, 0
	c.mu.Unlock()
	err := c.tcpConn.Close()
	c.listener.closed(c)
	return err
}
