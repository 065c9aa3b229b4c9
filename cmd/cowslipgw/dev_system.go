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

// Sizes and times of the system that dev starts.
const (
	devReplicas   = 3
	devReadyLimit = 30 * time.Second
	devReadyCheck = 20 * time.Millisecond
	// devHostsTTL is short, so that Ctrl-C does not wait long for idle connections.
	devHostsTTL = time.Second
	devLoadLag  = 500 * time.Millisecond
)

// devDomains are the failure domains of the system that dev starts, one host in each.
var devDomains = []string{"domain-a", "domain-b", "domain-c"}

//go:embed example/accounts.ini
var exampleAccounts string

//go:embed example/plans.ini
var examplePlans string

// devRun is a running host.
type devRun struct {
	stop context.CancelFunc
	done chan error
}

// startDevRun runs a host until it is told to stop.
func startDevRun(h *host.Host) devRun {
	ctx, stop := context.WithCancel(context.Background())
	run := devRun{stop: stop, done: make(chan error, 1)}
	go func() { run.done <- h.Run(ctx, context.Background()) }()
	return run
}

// devSystem is a running small system.
type devSystem struct {
	outside *launch.Process
	hosts   []*host.Host
	tracer  *trace.Tracer
	key     string
	// engine are the settings of the engine stand-ins.
	engine engine.Settings
	runs   []devRun
}

// startDevSystem starts stand-ins, publishes the example lists and starts the hosts.
func startDevSystem(ctx context.Context, listen string, logger *event.Logger) (*devSystem, error) {
	d := &devSystem{engine: engine.Settings{LoadLag: devLoadLag}}
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
	if d.outside, err = launch.Start(ctx, transport.TCP{}, devStandins(d.engine), io.Discard); err != nil {
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
		d.runs = append(d.runs, startDevRun(h))
	}
	return d.awaitReady(ctx)
}

// devStandins configures the outside systems.
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

// publishLists makes keys and appends the example lists to the log.
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
	client := logservice.NewClient(transport.TCP{}, d.outside.Address("log"))
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
	s.Platform.Log, s.Platform.HostList = d.outside.Address("log"), d.outside.Address("hosts")
	s.Upstream.Credential = "dev-host-credential"
	s.Limits.HostsTTL = devHostsTTL
	return s
}

// awaitReady waits until all hosts see each other and serve.
func (d *devSystem) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyLimit)
	defer cancel()
	ticker := time.NewTicker(devReadyCheck)
	defer ticker.Stop()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("the hosts were not ready within %v: %w", devReadyLimit, ctx.Err())
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

// stop drains the hosts one after another, so that each hands its partitions over, and
// then stops the stand-ins.
func (d *devSystem) stop() error {
	var err error
	for _, run := range d.runs {
		run.stop()
		err = errors.Join(err, <-run.done)
	}
	if d.outside != nil {
		err = errors.Join(err, d.outside.Stop())
	}
	return err
}
