package main

import (
	"bytes"
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"text/template"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/event"
	"cowslipgw/internal/host"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/launch"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/trace"
	"cowslipgw/internal/transport"
)

// Sizes and timing of the dev system.
const (
	devReplicas     = 3
	devReadyTimeout = 30 * time.Second
	devReadyPoll    = 20 * time.Millisecond
	// devHostsTTL is short so that Ctrl-C does not wait long for idle connections.
	devHostsTTL = time.Second
	devLoadLag  = 500 * time.Millisecond
)

// devDomains are the failure domains of the dev system, with one host in each.
var devDomains = []string{"domain-a", "domain-b", "domain-c"}

//go:embed example/accounts.ini
var exampleAccounts string

//go:embed example/plans.ini
var examplePlans string

// runningHost is a host that runs in the background. Calling stop drains it; done then
// receives the result of its run.
type runningHost struct {
	stop context.CancelFunc
	done chan error
}

// startHost runs a host in the background until stop is called.
func startHost(h *host.Host) runningHost {
	ctx, stop := context.WithCancel(context.Background())
	run := runningHost{stop: stop, done: make(chan error, 1)}
	go func() { run.done <- h.Run(ctx, context.Background()) }()
	return run
}

// devSystem is a small system of hosts and stand-ins in one process.
type devSystem struct {
	standins *launch.Process
	hosts    []*host.Host
	tracer   *trace.Tracer
	key      string
	// engineSettings are the settings of the engine stand-ins.
	engineSettings engine.Settings
	running        []runningHost
}

// startDevSystem starts the stand-ins, publishes the example lists and starts the
// hosts.
func startDevSystem(ctx context.Context, listen string, logger *event.Logger) (*devSystem, error) {
	d := &devSystem{engineSettings: engine.Settings{LoadLag: devLoadLag}}
	if err := d.start(ctx, listen, logger); err != nil {
		return nil, errors.Join(err, d.stop())
	}
	return d, nil
}

func (d *devSystem) start(ctx context.Context, listen string, logger *event.Logger) error {
	var err error
	if d.tracer, err = trace.New(ctx, trace.Options{}); err != nil {
		return err
	}
	if d.standins, err = launch.Start(ctx, transport.TCP{}, devStandins(d.engineSettings), io.Discard); err != nil {
		return err
	}
	if err := d.publishLists(ctx); err != nil {
		return err
	}
	for i, domain := range devDomains {
		s := d.hostSettings(i, domain, listen)
		h, err := host.New(ctx, host.Options{Settings: s, Network: transport.TCP{}, Logger: logger, Tracer: d.tracer})
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
		d.running = append(d.running, startHost(h))
	}
	return d.awaitReady(ctx)
}

// devStandins returns the configuration of the stand-ins for external systems.
func devStandins(engines engine.Settings) *launch.Config {
	engines.Models = []string{"assistant"}
	engines.ChecksFence = true
	const anyPort = "127.0.0.1:0"
	pool := func(name string) launch.PoolConfig {
		return launch.PoolConfig{Name: name, Pool: name, Listen: anyPort, Replicas: devReplicas, Domains: devDomains}
	}
	return &launch.Config{
		Log:   &launch.LogConfig{Listen: anyPort, Settings: logserver.Settings{}},
		Hosts: &launch.HostsConfig{Listen: anyPort, Lag: 500 * time.Millisecond},
		Engines: []*launch.EngineConfig{{
			PoolConfig: pool("llm-pool"),
			Settings:   engines,
		}},
		Apps: []*launch.AppConfig{{PoolConfig: pool("app"), Settings: app.Settings{}}},
	}
}

// publishLists generates keys and appends the example lists to the log.
func (d *devSystem) publishLists(ctx context.Context) error {
	first, err := account.NewKey()
	if err != nil {
		return err
	}
	second, err := account.NewKey()
	if err != nil {
		return err
	}
	d.key = first
	var accounts bytes.Buffer
	keys := map[string]string{
		"FirstKey":  lists.HashKey(first).String(),
		"SecondKey": lists.HashKey(second).String(),
	}
	if err := template.Must(template.New("accounts").Parse(exampleAccounts)).Execute(&accounts, keys); err != nil {
		return err
	}
	if _, faults := lists.Parse(accounts.String(), examplePlans); len(faults) > 0 {
		return fmt.Errorf("example lists: %s", faults[0])
	}
	record := lists.Record{ID: "dev-example", By: "dev", Message: "example lists", Accounts: accounts.String(), Plans: examplePlans}
	data, err := record.Encode()
	if err != nil {
		return err
	}
	client := logservice.NewClient(transport.TCP{}, d.standins.Address("log"))
	defer client.Close()
	_, err = client.Append(ctx, lists.Stream, record.ID, data)
	return err
}

// hostSettings returns the settings of the i-th host.
func (d *devSystem) hostSettings(i int, domain, listen string) settings.Host {
	s := settings.Default()
	s.ID = structs.HostID(fmt.Sprintf("host-%d", i+1))
	s.Region = "local"
	s.Domain = structs.Domain(domain)
	s.EntryAddress = "127.0.0.1:0"
	if i == 0 {
		s.EntryAddress = listen
	}
	s.AdminAddress = "127.0.0.1:0"
	s.ControlAddress = "127.0.0.1:0"
	s.Platform.Log, s.Platform.HostList = d.standins.Address("log"), d.standins.Address("hosts")
	s.Upstream.Credential = "dev-host-credential"
	s.Limits.HostsTTL = devHostsTTL
	return s
}

// awaitReady waits until all hosts are ready and have each other in their views.
func (d *devSystem) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	ticker := time.NewTicker(devReadyPoll)
	defer ticker.Stop()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("the hosts were not ready within %v: %w", devReadyTimeout, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (d *devSystem) ready() bool {
	for _, h := range d.hosts {
		if !h.Ready() || len(h.View().Hosts) != len(d.hosts) {
			return false
		}
	}
	return true
}

// stop drains the hosts one after another, so that each hands over its partitions,
// and then stops the stand-ins.
func (d *devSystem) stop() error {
	var err error
	for _, run := range d.running {
		run.stop()
		err = errors.Join(err, <-run.done)
	}
	if d.standins != nil {
		err = errors.Join(err, d.standins.Stop())
	}
	return err
}
