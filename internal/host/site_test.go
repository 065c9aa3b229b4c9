package host_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/host"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/hostlist"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/trace"
	"cowslipgw/internal/transport"
)

// Addresses of the in-memory network.
const (
	logIP      = "10.1.0.1"
	hostListIP = "10.1.0.2"
	callerIP   = "10.9.0.1"
	credential = "host-credential"
)

// siteConfig is the size of a site. Zero values take a small default.
type siteConfig struct {
	region  structs.Region
	domains []structs.Domain
	hosts   int
	// modelPool and appPool name the pools, engines and apps their sizes.
	modelPool, appPool string
	engines, apps      int
	engine             engine.Settings
	app                app.Settings
	log                logserver.Settings
	// accounts and plans are the two lists; keys in accounts are written as {key NAME}.
	accounts, plans string
	// change alters the settings of every host; nil for none.
	change func(*settings.Host)
	// delay is the one-way delay of every link.
	delay time.Duration
	// logTo gets the hosts' events; nil for none.
	logTo io.Writer
	// wrap puts a handler in front of each replica; nil for none.
	wrap func(replica string, next http.Handler) http.Handler
}

// site is a whole system in one process on an in-memory network and virtual time.
type site struct {
	t        *testing.T
	config   siteConfig
	network  *transport.Memory
	log      *logserver.Server
	hostList *hostlist.Server
	engines  map[string]*engine.Engine
	apps     map[string]*app.Service
	hosts    map[structs.HostID]*runningHost
	keyLock  sync.Mutex
	keys     map[string]string
	servers  []*standin.Server
	closers  []func()
	// linger is the time that close leaves to what killed hosts still try.
	linger time.Duration
}

// runningHost is one host of a site.
type runningHost struct {
	*host.Host
	ip         string
	stop, kill context.CancelFunc
	done       chan error
}

const defaultPlans = `
[plan large]
rate = 1000
burst = 2000
weight = 4
max_tokens = 270000
max_calls = 160
max_wall = 2h
max_depth = 3
models = assistant
routes = pickups, quotes, status

[plan small]
rate = 5
burst = 10
weight = 1
max_tokens = 5000
max_calls = 20
max_wall = 1h
max_depth = 2
models = assistant
routes = pickups

[model assistant]
pool = llm
context = 32768

[route pickups]
pool = app
path = /pickups
methods = POST
open = no
repeat = no

[route quotes]
pool = app
path = /quotes
open = no
repeat = yes

[route status]
pool = app
path = /status
methods = GET
open = yes
repeat = yes
`

const defaultAccounts = `
[account clinic]
plan = large
keys = {key clinic}

[account workshop]
plan = small
keys = {key workshop}
`

func (c *siteConfig) setDefaults() {
	if c.hosts == 0 {
		c.hosts = 6
	}
	if len(c.domains) == 0 {
		c.region = "region"
		c.domains = []structs.Domain{"domain-a", "domain-b", "domain-c"}
	}
	if c.modelPool == "" {
		c.modelPool, c.appPool = "llm", "app"
	}
	if c.engines == 0 {
		c.engines = 2
	}
	if c.apps == 0 {
		c.apps = 2
	}
	if c.accounts == "" {
		c.accounts, c.plans = defaultAccounts, defaultPlans
	}
	if len(c.engine.Models) == 0 {
		c.engine.Models = []string{"assistant"}
	}
	if c.delay == 0 {
		c.delay = time.Millisecond
	}
	if c.logTo == nil {
		c.logTo = io.Discard
	}
	if c.wrap == nil {
		c.wrap = func(_ string, next http.Handler) http.Handler { return next }
	}
}

// runSite runs a test against a site that serves, in virtual time.
func runSite(t *testing.T, config siteConfig, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, config)
		defer s.close()
		for i := range s.config.hosts {
			s.start(i)
		}
		s.awaitReady()
		test(s)
	})
}

// newSite starts the stand-ins and publishes the lists.
func newSite(t *testing.T, config siteConfig) *site {
	t.Helper()
	config.setDefaults()
	s := &site{
		t: t, config: config, network: transport.NewMemory(), log: logserver.New(config.log),
		engines: make(map[string]*engine.Engine), apps: make(map[string]*app.Service),
		hosts: make(map[structs.HostID]*runningHost), keys: make(map[string]string),
		linger: settings.Default().Limits.Carry + time.Minute,
	}
	s.network.SetUsualDelay(config.delay)
	s.serve(logIP, s.log)
	s.closers = append(s.closers, s.log.Close)
	s.hostList = hostlist.New(500*time.Millisecond, s.startUpstreams()...)
	s.serve(hostListIP, s.hostList)
	s.publish("lists-1", 0, config.accounts, config.plans)
	return s
}

func (s *site) startUpstreams() []hostlist.Replica {
	var replicas []hostlist.Replica
	domain := func(i int) string { return string(s.config.domains[i%len(s.config.domains)]) }
	for i := range s.config.engines {
		id, ip := fmt.Sprintf("%s-%d", s.config.modelPool, i+1), fmt.Sprintf("10.2.0.%d", i+1)
		config := s.config.engine
		config.ID = id
		s.engines[id] = engine.New(config)
		s.closers = append(s.closers, s.engines[id].Close)
		s.serve(ip, s.config.wrap(id, s.engines[id]))
		replicas = append(replicas, hostlist.Replica{
			Pool: s.config.modelPool, ID: id, Address: ip + ":80", Domain: domain(i), State: "live",
			Kind: "engine", ChecksFence: config.ChecksFence,
		})
	}
	for i := range s.config.apps {
		id, ip := fmt.Sprintf("%s-%d", s.config.appPool, i+1), fmt.Sprintf("10.3.0.%d", i+1)
		config := s.config.app
		config.ID = id
		s.apps[id] = app.New(config)
		s.closers = append(s.closers, s.apps[id].Close)
		s.serve(ip, s.config.wrap(id, s.apps[id]))
		replicas = append(replicas, hostlist.Replica{
			Pool: s.config.appPool, ID: id, Address: ip + ":80", Domain: domain(i), State: "live", Kind: "app",
		})
	}
	return replicas
}

func (s *site) serve(ip string, handler http.Handler) {
	s.t.Helper()
	server, err := standin.Listen(context.Background(), s.network.Host(ip), ip+":80", handler)
	if err != nil {
		s.t.Fatal(err)
	}
	s.servers = append(s.servers, server)
}

// key returns the key of a client account, and makes it at first use.
func (s *site) key(name string) string {
	s.keyLock.Lock()
	defer s.keyLock.Unlock()
	if s.keys[name] == "" {
		s.keys[name] = "cgw_key-of-" + name + "-0123456789abcdefghij"
	}
	return s.keys[name]
}

// publish appends a version of the lists to the log, as an operator does.
func (s *site) publish(id string, base structs.Offset, accounts, plans string) structs.Offset {
	s.t.Helper()
	accounts = s.withHashes(accounts)
	if _, faults := lists.Parse(accounts, plans); len(faults) > 0 {
		s.t.Fatal(faults)
	}
	record := lists.Record{ID: id, Base: base, By: "operator", Accounts: accounts, Plans: plans}
	data, err := record.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	return structs.Offset(s.log.Append(lists.Stream, id, data))
}

// withHashes replaces each {key NAME} by the hash of that key.
func (s *site) withHashes(accounts string) string {
	for {
		before, rest, found := strings.Cut(accounts, "{key ")
		if !found {
			return accounts
		}
		name, after, _ := strings.Cut(rest, "}")
		accounts = before + lists.HashKey(s.key(name)).String() + after
	}
}

func hostID(i int) structs.HostID {
	return structs.HostID(fmt.Sprintf("host-%02d", i+1))
}

// start starts the i-th host, also after a stop or kill.
func (s *site) start(i int) *runningHost {
	s.t.Helper()
	ip := hostIP(i)
	config := settings.Default()
	config.ID = hostID(i)
	config.Region = s.config.region
	config.Domain = s.config.domains[i%len(s.config.domains)]
	config.EntryAddress, config.AdminAddress, config.ControlAddress = ip+":80", ip+":81", ip+":82"
	config.Platform.Log, config.Platform.HostList = logIP+":80", hostListIP+":80"
	if s.config.log.RetainFor > 0 {
		config.Platform.LogRetention = s.config.log.RetainFor
	}
	config.Upstream.Credential = credential
	if s.config.change != nil {
		s.config.change(&config)
	}
	logger := event.New(s.config.logTo, true, 5)
	tracer, err := trace.New(context.Background(), trace.Options{})
	if err != nil {
		s.t.Fatal(err)
	}
	h, err := host.New(context.Background(), host.Options{
		Settings: config, Network: s.network.Host(ip), Logger: logger, Tracer: tracer,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	stopped, stop := context.WithCancel(context.Background())
	killed, kill := context.WithCancel(context.Background())
	r := &runningHost{Host: h, ip: ip, stop: stop, kill: kill, done: make(chan error, 1)}
	go func() { r.done <- h.Run(stopped, killed) }()
	s.hosts[config.ID] = r
	return r
}

// host returns the i-th host.
func (s *site) host(i int) *runningHost { return s.hosts[hostID(i)] }

// kill ends a host at once, as when its process dies.
func (s *site) kill(i int) {
	r := s.host(i)
	s.network.Kill(r.ip)
	r.kill()
	<-r.done
	delete(s.hosts, hostID(i))
}

// stop drains a host and waits for its end.
func (s *site) stop(i int) {
	s.t.Helper()
	r := s.host(i)
	r.stop()
	if err := <-r.done; err != nil {
		s.t.Errorf("host %d stopped with %v", i, err)
	}
	delete(s.hosts, hostID(i))
}

// peerIPs returns the addresses of all hosts but one.
func (s *site) peerIPs(i int) []string {
	var ips []string
	for id, r := range s.hosts {
		if id != hostID(i) {
			ips = append(ips, r.ip)
		}
	}
	return ips
}

// cut cuts a host from addresses in both directions.
func (s *site) cut(i int, ips ...string) {
	for _, ip := range ips {
		s.network.CutBoth(s.host(i).ip, ip)
	}
}

// awaitReady waits until every host serves and sees all others.
func (s *site) awaitReady() {
	s.t.Helper()
	s.await(time.Minute, "the hosts to be ready", func() bool {
		for _, r := range s.hosts {
			if !r.Ready() || len(r.View().Hosts) != len(s.hosts) {
				return false
			}
		}
		return true
	})
}

// await waits for a condition in virtual time.
func (s *site) await(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("waited %v for %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// close ends everything that the site started.
func (s *site) close() {
	for _, r := range s.hosts {
		r.kill()
	}
	for _, r := range s.hosts {
		<-r.done
	}
	for _, closer := range s.closers {
		closer()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	// Time stands still after the test's function, so that what killed hosts still try
	// must end here.
	time.Sleep(s.linger)
}
