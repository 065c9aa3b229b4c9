package intake

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// addressShare is the part of the connections that one address may have.
	addressShare = 0.75
	// minConnections is the smallest limit for connections.
	minConnections = 8
	// overshoot is how many connections there may be above the limit while evicted ones end.
	overshoot = 8
	// acceptRetryDelay is the pause after an error that passes, in which connections may end.
	acceptRetryDelay = 10 * time.Millisecond
)

// isTransient reports whether an error of Accept passes: the connection was reset before it was accepted,
// or there is no descriptor or buffer for it.
func isTransient(err error) bool {
	for _, transient := range []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// idleElement is a position in the list of idle connections.
type idleElement = list.Element

// Options are the properties of a Listener.
type Options struct {
	// Name is the value of the metrics' label.
	Name string
	// Connections is the maximum number of open connections.
	Connections int
	// Limits returns the limits in effect; nil selects the defaults.
	Limits func() Limits
	// Trusted reports whether an address is that of another host. Its connections are not counted,
	// and never evicted. It may be nil.
	Trusted func(addr string) bool
	// Raw is set if the connections do not carry HTTP. Only their number is limited.
	Raw bool
}

// Listener accepts connections within limits. Beyond the number of connections, idle ones are closed
// first, the longest idle before the others; then those whose head is least advanced.
type Listener struct {
	net.Listener
	options  Options
	raw      bool
	memory   *Memory
	reporter *reporter

	// mu guards the fields below. It is the first lock of this package.
	mu   sync.Mutex
	open map[*Conn]struct{}
	// addresses holds the number of open connections by address.
	addresses map[string]int
	// idleConns holds the idle connections, the longest idle first.
	idleConns list.List
}

// Listen returns a listener whose connections are taken from l.
func (i *Intake) Listen(l net.Listener, options Options) *Listener {
	options.Connections = max(options.Connections, minConnections)
	listener := &Listener{Listener: l, options: options, raw: options.Raw, memory: i.memory, reporter: i.newReporter(options.Name),
		open: make(map[*Conn]struct{}), addresses: make(map[string]int)}
	i.add(listener)
	return listener
}

// Configure sets the fields of a server for the connections of a Listener.
func Configure(s *http.Server) {
	s.MaxHeaderBytes = MaxHeaderBytes
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn := connOf(c); conn != nil && state == http.StateIdle {
			conn.requestDone()
		}
	}
}

// connOf returns the Conn that c is or wraps; nil if there is none.
func connOf(c net.Conn) *Conn {
	for {
		if conn, ok := c.(*Conn); ok {
			return conn
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// limits returns the limits in effect.
func (l *Listener) limits() Limits {
	if l.options.Limits == nil {
		return Limits{}.withDefaults()
	}
	return l.options.Limits().withDefaults()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if isTransient(err) {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(tcpConn)
		if !ok {
			return accepted, nil
		}
		if c := l.add(tcp); c != nil {
			return c, nil
		}
	}
}

// add adds a connection. It returns nil, and closes the connection, if there is no room for it.
func (l *Listener) add(tcp tcpConn) *Conn {
	c := &Conn{tcpConn: tcp, listener: l, addr: addressOf(tcp), idleSince: time.Now()}
	if l.trusted(c.addr) {
		l.mu.Lock()
		l.insertLocked(c)
		l.mu.Unlock()
		return c
	}
	why, admitted := l.tryAdd(c)
	if !admitted {
		l.reporter.note(why)
		// The other end sees a reset or the end of the connection.
		_ = tcp.Close()
		return nil
	}
	return c
}

// tryAdd adds the connection of a stranger, and evicts another one if there are too many.
func (l *Listener) tryAdd(c *Conn) (why cause, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	strangers := len(l.open)
	limit := l.options.Connections
	if strangers >= limit && l.options.Trusted != nil {
		strangers = l.strangersLocked()
	}
	ofAddress, addressLimit := l.addresses[c.addr], max(1, int(float64(limit)*addressShare))
	switch {
	case ofAddress >= addressLimit:
		if !l.evictLocked(c.addr) || ofAddress >= addressLimit+overshoot {
			return causeAddress, false
		}
	case strangers >= limit:
		if !l.evictLocked("") || strangers >= limit+overshoot {
			return causeConnections, false
		}
	}
	l.insertLocked(c)
	return "", true
}

func (l *Listener) insertLocked(c *Conn) {
	l.open[c] = struct{}{}
	l.addresses[c.addr]++
	c.element = l.idleConns.PushBack(c)
}

// strangersLocked returns the number of connections that count.
func (l *Listener) strangersLocked() int {
	count := 0
	for addr, n := range l.addresses {
		if !l.trusted(addr) {
			count += n
		}
	}
	return count
}

func (l *Listener) trusted(addr string) bool {
	return l.options.Trusted != nil && l.options.Trusted(addr)
}

// evictLocked ends the connection that is idle for longest, or else the one whose head is least
// advanced; only one of the given address, if it is not empty. It reports whether there is one.
func (l *Listener) evictLocked(addr string) bool {
	for e := l.idleConns.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if (addr == "" || c.addr == addr) && !l.trusted(c.addr) && c.evict(phaseIdle, causeEvictedIdle) {
			l.idleConns.Remove(e)
			c.element = nil
			return true
		}
	}
	var least *Conn
	leastBytes := 0
	for c := range l.open {
		if addr != "" && c.addr != addr || l.trusted(c.addr) {
			continue
		}
		if bytes, ok := c.headProgress(); ok && (least == nil || bytes < leastBytes) {
			least, leastBytes = c, bytes
		}
	}
	return least != nil && least.evict(phaseHead, causeEvictedHead)
}

// evict has the connection closed if it is in the given phase. A read that has received bytes
// meanwhile goes on.
func (c *Conn) evict(in phase, why cause) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != in || c.evicted != "" {
		return false
	}
	c.evicted = why
	if c.listener.raw {
		c.listener.reporter.note(why)
		return c.tcpConn.Close() == nil
	}
	return c.tcpConn.SetReadDeadline(time.Unix(1, 0)) == nil
}

// headProgress returns how far the head has advanced; false if none is being received.
func (c *Conn) headProgress() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headBytes, c.phase == phaseHead && c.evicted == ""
}

// idle records that a connection has become idle.
func (l *Listener) idle(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.open[c]; open && c.element == nil {
		c.element = l.idleConns.PushBack(c)
	}
}

// notIdle records that a connection is no longer idle.
func (l *Listener) notIdle(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element != nil {
		l.idleConns.Remove(c.element)
		c.element = nil
	}
}

// closed records that a connection was closed.
func (l *Listener) closed(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element != nil {
		l.idleConns.Remove(c.element)
		c.element = nil
	}
	delete(l.open, c)
	if l.addresses[c.addr]--; l.addresses[c.addr] <= 0 {
		delete(l.addresses, c.addr)
	}
}

// mayLinger reports whether there is room for a connection that was refused.
func (l *Listener) mayLinger() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) < l.options.Connections/2
}

// openConnections returns the number of open connections.
func (l *Listener) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// addressOf returns the IP address of the other end.
func addressOf(c net.Conn) string {
	addr := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(addr); err == nil {
		return host
	}
	return addr
}
