package launch

import (
	"context"
	"io"

	"cowslipgw/internal/transport"
)

// Start starts the services and writes a line to ready for each of them. The
// caller must call Stop, even after an error.
func Start(ctx context.Context, network transport.Network, config *Config, ready io.Writer) (*Process, error) {
	p := &Process{network: network, ready: ready, addresses: make(map[string]string)}
	return p, p.start(ctx, config)
}

// Stop gracefully shuts down the services. It waits for running requests for up to
// shutdownTimeout.
func (p *Process) Stop() error {
	return p.stop()
}

// Address returns the "ip:port" of the service with the given label, such as "log",
// "hosts" or "engine llm-1".
func (p *Process) Address(label string) string {
	return p.addresses[label]
}
