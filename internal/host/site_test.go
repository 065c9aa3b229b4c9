package host_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cowslipgw/internal/host"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/hostlist"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
)

// Addresses in the in-memory network, and the credential of the hosts at upstreams.
const (
	logIP      = "10.1.0.1"
	hostListIP = "10.1.0.2"
	callerIP   = "10.9.0.1"
	credential = "host-credential"
)

// site is a complete system in one process, on an in-memory network and usually in
// virtual time.
type site struct {
	t        *testing.T
	config   siteConfig
	network  *transport.Memory
	log      *logserver.Server
	hostList *hostlist.Server
	engines  map[string]*engine.Engine
	apps     map[string]*app.Service
	hosts    map[structs.HostID]*runningHost
	keysMu   sync.Mutex
	keys     map[string]string
	servers  []*standin.Server
	closers  []func()
	// settleTime is how long close waits for operations that killed hosts still retry.
	settleTime time.Duration
}

// runningHost is one host of a site.
type runningHost struct {
	*host.Host
	ip         string
	stop, kill context.CancelFunc
	done       chan error
}

// runSite runs a test in virtual time against a site whose hosts are all ready.
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

// newSite starts the stand-in servers and publishes the first version of the lists.
func newSite(t *testing.T, config siteConfig) *site {
	t.Helper()
	config.setDefaults()
	s := &site{
		t: t, config: config, network: transport.NewMemory(), log: logserver.New(config.log),
		engines: make(map[string]*engine.Engine), apps: make(map[string]*app.Service),
		hosts: make(map[structs.HostID]*runningHost), keys: make(map[string]string),
		settleTime: settings.Default().Limits.CarryTimeout + time.Minute,
	}
	s.network.SetDefaultDelay(config.delay)
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
		s.serve(ip, s.config.wrapReplica(id, s.engines[id]))
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
		s.serve(ip, s.config.wrapReplica(id, s.apps[id]))
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

// key returns the named API key and creates it on first use.
func (s *site) key(name string) string {
	s.keysMu.Lock()
	defer s.keysMu.Unlock()
	if s.keys[name] == "" {
		s.keys[name] = "cgw_key-of-" + name + "-0123456789abcdefghij"
	}
	return s.keys[name]
}

// publish appends a version of the lists to the log, as an edit by an operator does.
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

// withHashes replaces each {key NAME} with the hash of the named key.
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

// awaitReady waits until every running host is ready and has all running hosts in its
// view.
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

// await polls until the condition holds and fails the test after the limit.
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

// close stops everything that the site started.
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
	// Virtual time stops when the test function returns, so operations that killed hosts
	// still retry must end before that.
	time.Sleep(s.settleTime)
}
