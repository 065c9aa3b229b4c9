package launch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/hostlist"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/standin/weights"
	"cowslipgw/internal/transport"
)

// stopTimeout bounds how long running requests may take after a stop.
const stopTimeout = 10 * time.Second

// Process runs the services of a configuration.
type Process struct {
	network  transport.Network
	ready    io.Writer
	services []service
	replicas []hostlist.Replica
	// addresses holds the "ip:port" of each service by its label.
	addresses map[string]string
}

// service is one listening stand-in.
type service struct {
	server *standin.Server
	// before ends what a graceful stop would wait for in vain; after frees the rest.
	before, after func()
}

// Run starts the services, writes a line for each, such as "ready log
// 127.0.0.1:7001" or "ready engine llm-1 127.0.0.1:7002", and runs until ctx ends.
// It then stops accepting, waits for running requests and returns.
func Run(ctx context.Context, network transport.Network, config *Config, ready io.Writer) error {
	p, err := Start(ctx, network, config, ready)
	if err == nil {
		<-ctx.Done()
	}
	return errors.Join(err, p.stop())
}

func (p *Process) start(ctx context.Context, config *Config) error {
	if c := config.Log; c != nil {
		server := logserver.New(c.Settings)
		if _, err := p.serve(ctx, "log", c.Listen, server, server.Close, nil); err != nil {
			return err
		}
	}
	if c := config.Weights; c != nil {
		if _, err := p.serve(ctx, "weights", c.Listen, weights.New(c.Settings), nil, nil); err != nil {
			return err
		}
	}
	for _, c := range config.Engines {
		if err := p.startEngines(ctx, c); err != nil {
			return err
		}
	}
	for _, c := range config.Apps {
		if err := p.startApps(ctx, c); err != nil {
			return err
		}
	}
	if c := config.Hosts; c != nil {
		list := hostlist.New(c.Lag, p.replicas...)
		if _, err := p.serve(ctx, "hosts", c.Listen, list, nil, nil); err != nil {
			return err
		}
	}
	return nil
}

func (p *Process) startEngines(ctx context.Context, c *EngineConfig) error {
	return p.startPool(c.PoolConfig, "engine", c.Settings.ChecksFence, func(id, listen string) (string, error) {
		settings := c.Settings
		settings.ID = id
		settings.Network = p.network
		replica := engine.New(settings)
		return p.serve(ctx, "engine "+id, listen, replica, nil, replica.Close)
	})
}

func (p *Process) startApps(ctx context.Context, c *AppConfig) error {
	return p.startPool(c.PoolConfig, "app", false, func(id, listen string) (string, error) {
		settings := c.Settings
		settings.ID = id
		replica := app.New(settings)
		return p.serve(ctx, "app "+id, listen, replica, replica.Close, nil)
	})
}

// startPool starts the replicas of a section and puts them on the host list.
func (p *Process) startPool(c PoolConfig, kind string, fence bool, start func(id, listen string) (string, error)) error {
	for i := range c.Replicas {
		listen, err := addPort(c.Listen, i)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("%s-%d", c.Name, i+1)
		address, err := start(id, listen)
		if err != nil {
			return err
		}
		p.replicas = append(p.replicas, hostlist.Replica{
			Pool: c.Pool, ID: id, Address: address, Domain: c.Domains[i%len(c.Domains)], Kind: kind, ChecksFence: fence,
		})
	}
	return nil
}

// serve starts one service and returns its address.
func (p *Process) serve(ctx context.Context, label, listen string, handler http.Handler, before, after func()) (string, error) {
	server, err := standin.Listen(ctx, p.network, listen, handler)
	if err != nil {
		if after != nil {
			after()
		}
		return "", fmt.Errorf("%s: %w", label, err)
	}
	p.services = append(p.services, service{server: server, before: before, after: after})
	p.addresses[label] = server.Address()
	_, err = fmt.Fprintf(p.ready, "ready %s %s\n", label, server.Address())
	return server.Address(), err
}

// stop ends the services in order.
func (p *Process) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var all error
	for _, s := range p.services {
		if s.before != nil {
			s.before()
		}
	}
	for _, s := range p.services {
		all = errors.Join(all, s.server.Shutdown(ctx))
		if s.after != nil {
			s.after()
		}
	}
	return all
}

// addPort returns the address that lies n ports above; port 0 stays.
func addPort(address string, n int) (string, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	port, err := strconv.Atoi(text)
	if err != nil || port == 0 {
		return address, err
	}
	return net.JoinHostPort(host, strconv.Itoa(port+n)), nil
}
