package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ErrRefused is the cause of a failed dial on a Memory network if nothing listens on the
// address.
var ErrRefused = errors.New("connection refused")

// firstMemoryPort is the lower bound of the ports that Memory assigns for port 0 and to
// the dialing end of connections.
const firstMemoryPort = 20000

// Memory is an in-memory network within one process. Links between IP addresses have a
// one-way delay and can be cut and restored, so that tests can inject network faults.
// Connections are buffered like those of TCP. Memory.Host returns the Network of one IP
// address.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	cut       map[link]bool
	// delay holds the one-way delays that SetDelay set; defaultDelay applies to the other
	// links.
	delay        map[link]time.Duration
	defaultDelay time.Duration
	conns        map[*memoryConn]struct{}
	// sent counts the bytes written by each IP address.
	sent     map[string]*atomic.Int64
	nextPort int
}

// link is an ordered pair of IP addresses.
type link struct {
	from, to string
}

// NewMemory returns a network without listeners, delays or cuts.
func NewMemory() *Memory {
	return &Memory{
		listeners: make(map[string]*memoryListener),
		cut:       make(map[link]bool),
		delay:     make(map[link]time.Duration),
		conns:     make(map[*memoryConn]struct{}),
		sent:      make(map[string]*atomic.Int64),
		nextPort:  firstMemoryPort,
	}
}

// Host returns the Network of the host with the given IP address.
func (m *Memory) Host(ip string) Network {
	return &memoryHost{network: m, ip: ip}
}

// Cut stops all traffic from one IP address to another, like a network partition. Bytes
// in flight and bytes written later are held back until Restore, and new connections in
// either direction time out.
func (m *Memory) Cut(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[link{from, to}] = true
}

// CutBoth stops all traffic between two IP addresses in both directions.
func (m *Memory) CutBoth(a, b string) {
	m.Cut(a, b)
	m.Cut(b, a)
}

// Restore reverts Cut in both directions and delivers the bytes that were held back.
func (m *Memory) Restore(a, b string) {
	m.mu.Lock()
	delete(m.cut, link{a, b})
	delete(m.cut, link{b, a})
	conns := m.connsBetweenLocked(a, b)
	m.mu.Unlock()
	for _, conn := range conns {
		conn.wake()
	}
}

// SetDelay sets the one-way delay from one IP address to another.
func (m *Memory) SetDelay(from, to string, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay[link{from, to}] = delay
}

// SetDefaultDelay sets the one-way delay of all links for which SetDelay was not called.
func (m *Memory) SetDefaultDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.defaultDelay = delay
}

// BytesSent returns the number of bytes that an IP address has written.
func (m *Memory) BytesSent(ip string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counterLocked(ip).Load()
}

// counterLocked returns the sent counter of an IP address. The caller holds m.mu.
func (m *Memory) counterLocked(ip string) *atomic.Int64 {
	if m.sent[ip] == nil {
		m.sent[ip] = &atomic.Int64{}
	}
	return m.sent[ip]
}

// Kill closes all listeners and connections of an IP address, like a crash of its
// process.
func (m *Memory) Kill(ip string) {
	m.mu.Lock()
	var listeners []*memoryListener
	for address, listener := range m.listeners {
		if ipOf(address) == ip {
			listeners = append(listeners, listener)
		}
	}
	var conns []*memoryConn
	for conn := range m.conns {
		if conn.localIP == ip || conn.remoteIP == ip {
			conns = append(conns, conn)
		}
	}
	m.mu.Unlock()
	for _, listener := range listeners {
		_ = listener.Close()
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// IsCut reports whether traffic from one IP address to another is cut.
func (m *Memory) IsCut(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[link{from, to}]
}

func (m *Memory) delayOf(from, to string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delay, ok := m.delay[link{from, to}]; ok {
		return delay
	}
	return m.defaultDelay
}

func (m *Memory) connsBetweenLocked(a, b string) []*memoryConn {
	var conns []*memoryConn
	for conn := range m.conns {
		if (conn.localIP == a && conn.remoteIP == b) || (conn.localIP == b && conn.remoteIP == a) {
			conns = append(conns, conn)
		}
	}
	return conns
}

func (m *Memory) listen(ip, address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen %q: %w", address, err)
	}
	if host == "" {
		host = ip
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if port == "0" {
		m.nextPort++
		port = strconv.Itoa(m.nextPort)
	}
	address = net.JoinHostPort(host, port)
	if _, taken := m.listeners[address]; taken {
		return nil, fmt.Errorf("listen %q: address already in use", address)
	}
	listener := newMemoryListener(m, address)
	m.listeners[address] = listener
	return listener, nil
}

func (m *Memory) dial(ctx context.Context, ip, address string) (net.Conn, error) {
	target := ipOf(address)
	for m.IsCut(ip, target) || m.IsCut(target, ip) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(dialTimeout):
			return nil, &net.OpError{Op: "dial", Net: "memory", Err: context.DeadlineExceeded}
		}
	}
	m.mu.Lock()
	listener := m.listeners[address]
	m.nextPort++
	local := net.JoinHostPort(ip, strconv.Itoa(m.nextPort))
	m.mu.Unlock()
	if listener == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ErrRefused}
	}
	client, server := newMemoryPair(m, local, address)
	if err := listener.enqueue(ctx, server); err != nil {
		_ = client.Close()
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: err}
	}
	return client, nil
}

// ipOf returns the IP address of an "ip:port" address.
func ipOf(address string) string {
	host, _, found := strings.Cut(address, ":")
	if !found {
		return address
	}
	return host
}

// memoryHost is the Network of one IP address.
type memoryHost struct {
	network *Memory
	ip      string
}

// Listen listens on an address. An empty IP address stands for that of the host.
func (h *memoryHost) Listen(_ context.Context, address string) (net.Listener, error) {
	return h.network.listen(h.ip, address)
}

// Dial connects to an address from the IP address of the host.
func (h *memoryHost) Dial(ctx context.Context, address string) (net.Conn, error) {
	return h.network.dial(ctx, h.ip, address)
}
