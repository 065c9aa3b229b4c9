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

// staleConnTimeout is the time without a successful reply after which a call that reaches
// its deadline closes the connection. The next call then dials a new one.
const staleConnTimeout = 5 * time.Second

// ErrUnreachable means that the call was not sent.
var ErrUnreachable = errors.New("host unreachable")

// ErrNoAnswer means that the call was sent but no reply arrived. The call may have taken
// effect.
var ErrNoAnswer = errors.New("no answer from host")

// Client calls the services of other hosts. It keeps one connection per address. It is
// safe for concurrent use.
type Client struct {
	network transport.Network
	mu      sync.Mutex
	links   map[string]*clientLink
	closed  bool
}

// NewClient returns a client that dials through network.
func NewClient(network transport.Network) *Client {
	return &Client{network: network, links: make(map[string]*clientLink)}
}

// Call calls a method such as "Program.Begin" of the host at the given control address,
// and waits until the reply arrives or ctx is done. The error wraps ErrUnreachable if the
// call had no effect, wraps ErrNoAnswer if it may have had one, and is an rpc.ServerError
// if the method returned an error.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	link, err := c.link(address)
	if err != nil {
		return err
	}
	conn, err := link.connect(ctx, c.network)
	if err != nil {
		return oops.In("control").With("address", address).Wrap(errors.Join(ErrUnreachable, err))
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		link.closeIfStale(conn)
		return oops.In("control").With("address", address, "method", method).Wrap(errors.Join(ErrNoAnswer, ctx.Err()))
	case <-call.Done:
	}
	return link.callError(conn, call)
}

// Retain closes the connections to all addresses for which keep returns false. It
// releases the resources of hosts that have left the fleet.
func (c *Client) Retain(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, link := range c.links {
		if !keep(address) {
			link.close()
			delete(c.links, address)
		}
	}
}

// Close closes all connections. Later calls return ErrUnreachable.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, link := range c.links {
		link.close()
	}
}

// link returns the link to an address and creates it if there is none.
func (c *Client) link(address string) (*clientLink, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrUnreachable
	}
	link := c.links[address]
	if link == nil {
		link = newClientLink(address)
		c.links[address] = link
	}
	return link, nil
}
