package launch

import (
	"context"
	"io"

	"cowslipgw/internal/transport"
)

// Start starts the services and writes a line for each to ready. The caller stops
// the process, also after an error.
func Start(ctx context.Context, network transport.Network, config *Config, ready io.Writer) (*Process, error) {
	p := &Process{network: network, ready: ready, addresses: make(map[string]string)}
	return p, p.start(ctx, config)
}

// Stop stops accepting, waits for running requests and returns.
func (p *Process) Stop() error {
	return p.stop()
}

// Address returns the "ip:port" of a service by its label, such as "log", "hosts" or
// "engine llm-1".
func (p *Process) Address(label string) string {
	return p.addresses[label]
}
