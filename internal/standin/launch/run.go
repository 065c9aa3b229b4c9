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

// shutdownTimeout is the time that running requests have to complete during a
// graceful shutdown.
const shutdownTimeout = 10 * time.Second

// Process runs the services of a configuration.
type Process struct {
	network  transport.Network
	ready    io.Writer
	services []service
	replicas []hostlist.Replica
	// addresses maps the label of each service to its "ip:port".
	addresses map[string]string
}

// service is a stand-in with its listening server.
type service struct {
	server *standin.Server
	// beforeShutdown ends requests that a graceful shutdown would otherwise wait for
	// until its timeout. afterShutdown releases the remaining resources. Both may be
	// nil.
	beforeShutdown, afterShutdown func()
}

// Run starts the services and writes a line to ready for each of them, such as
// "ready log 127.0.0.1:7001" or "ready engine llm-1 127.0.0.1:7002". When ctx is
// done, it gracefully shuts down the services and returns.
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

// startPool starts the replicas of a section and adds them to the host list.
func (p *Process) startPool(c PoolConfig, kind string, checksFence bool, start func(id, listen string) (string, error)) error {
	for i := range c.Replicas {
		listen, err := offsetPort(c.Listen, i)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("%s-%d", c.Name, i+1)
		address, err := start(id, listen)
		if err != nil {
			return err
		}
		p.replicas = append(p.replicas, hostlist.Replica{
			Pool: c.Pool, ID: id, Address: address, Domain: c.Domains[i%len(c.Domains)], Kind: kind, ChecksFence: checksFence,
		})
	}
	return nil
}

// serve starts a service, writes its ready line and returns its address. If it
// cannot listen, it calls afterShutdown.
func (p *Process) serve(ctx context.Context, label, listen string, handler http.Handler, beforeShutdown, afterShutdown func()) (string, error) {
	server, err := standin.Listen(ctx, p.network, listen, handler)
	if err != nil {
		if afterShutdown != nil {
			afterShutdown()
		}
		return "", fmt.Errorf("%s: %w", label, err)
	}
	p.services = append(p.services, service{server: server, beforeShutdown: beforeShutdown, afterShutdown: afterShutdown})
	p.addresses[label] = server.Address()
	_, err = fmt.Fprintf(p.ready, "ready %s %s\n", label, server.Address())
	return server.Address(), err
}

// stop gracefully shuts down the services in the order in which they were started.
func (p *Process) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var errs error
	for _, s := range p.services {
		if s.beforeShutdown != nil {
			s.beforeShutdown()
		}
	}
	for _, s := range p.services {
		errs = errors.Join(errs, s.server.Shutdown(ctx))
		if s.afterShutdown != nil {
			s.afterShutdown()
		}
	}
	return errs
}

// offsetPort adds offset to the port of address. Port 0 is left unchanged.
func offsetPort(address string, offset int) (string, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	port, err := strconv.Atoi(text)
	if err != nil || port == 0 {
		return address, err
	}
	return net.JoinHostPort(host, strconv.Itoa(port+offset)), nil
}
