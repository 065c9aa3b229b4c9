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

// ErrRefused is returned by Memory.Dial when nothing listens on the address.
var ErrRefused = errors.New("connection refused")

// firstMemoryPort is the first port that Memory hands out for port 0.
const firstMemoryPort = 20000

// Memory is an in-memory Network for one process. Links between two IP addresses
// can be cut and restored and have a one-way delay, so that tests bring about
// network failures without packets. Its connections are buffered like TCP's.
// Memory itself hands out one Network per IP address with Host.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	cut       map[link]bool
	delay     map[link]time.Duration
	// usual is the one-way delay of links without one of their own.
	usual time.Duration
	conns map[*memoryConn]struct{}
	// sent counts the bytes that each IP address has written.
	sent     map[string]*atomic.Int64
	nextPort int
}

// link is an ordered pair of IP addresses.
type link struct {
	from, to string
}

// NewMemory returns an empty network.
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

// Host returns the network as the host with the given IP address sees it.
func (m *Memory) Host(ip string) Network {
	return &memoryHost{net: m, ip: ip}
}

// Cut drops all traffic from one IP address to another. Bytes in flight and
// bytes written later stay unsent until Restore, as with a network partition, and
// new connections time out.
func (m *Memory) Cut(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[link{from, to}] = true
}

// CutBoth cuts both directions between two IP addresses.
func (m *Memory) CutBoth(a, b string) {
	m.Cut(a, b)
	m.Cut(b, a)
}

// Restore undoes Cut in both directions and delivers what was held back.
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

// SetUsualDelay sets the one-way delay of all links without one of their own.
func (m *Memory) SetUsualDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usual = delay
}

// Sent returns how many bytes an IP address has written.
func (m *Memory) Sent(ip string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counterLocked(ip).Load()
}

// counterLocked returns the counter of an IP address. m.mu is held.
func (m *Memory) counterLocked(ip string) *atomic.Int64 {
	if m.sent[ip] == nil {
		m.sent[ip] = &atomic.Int64{}
	}
	return m.sent[ip]
}

// Kill closes every listener and connection of an IP address, as when its process
// dies.
func (m *Memory) Kill(ip string) {
	m.mu.Lock()
	var listeners []*memoryListener
	for address, listener := range m.listeners {
		if hostOf(address) == ip {
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

// IsCut reports whether traffic from one IP address to another is dropped.
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
	return m.usual
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
	target := hostOf(address)
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
	if err := listener.deliver(ctx, server); err != nil {
		_ = client.Close()
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: err}
	}
	return client, nil
}

func hostOf(address string) string {
	host, _, found := strings.Cut(address, ":")
	if !found {
		return address
	}
	return host
}

// memoryHost is the Network of one IP address.
type memoryHost struct {
	net *Memory
	ip  string
}

// Listen opens a listener of this host.
func (h *memoryHost) Listen(_ context.Context, address string) (net.Listener, error) {
	return h.net.listen(h.ip, address)
}

// Dial connects from this host.
func (h *memoryHost) Dial(ctx context.Context, address string) (net.Conn, error) {
	return h.net.dial(ctx, h.ip, address)
}
