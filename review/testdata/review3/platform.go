// Command review3 plays the cases of the third review: it starts gateway processes on loopback addresses, with a
// store, replicas and callers of its own around them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cowslipgw/platform/platformtest"
)

// hostName is the host of all routes.
const hostName = "site.example"

// The store takes appendTime (platform.append_ms) for an append, and readTime for other answers, which the pages do not state.
const (
	appendTime = 4 * time.Millisecond
	readTime   = time.Millisecond
)

// leadTime is the time from the start of the machines to that of traffic (lead_s).
const leadTime = 10 * time.Second

// tenant is a client account of the configuration.
type tenant struct {
	name, key   string
	rate, burst int
}

// routeSpec is a route of the configuration.
type routeSpec struct {
	name, kind, service string
	timeout             time.Duration
}

// platform is the store, its address and what the operator has published.
type platform struct {
	store    *platformtest.Store
	addr     string
	dir      string
	record   *recorder
	version  int64
	sequence int64
	servers  []*http.Server
	hosts    []*host
	// storeFactor is how many times its usual time the store takes for an answer.
	storeFactor atomic.Int64
}

// newPlatform starts a store.
func newPlatform(record *recorder) (*platform, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	p := &platform{store: platformtest.NewStore(), dir: dir, record: record}
	p.storeFactor.Store(1)
	p.addr, err = p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		usual := readTime
		if r.Method == http.MethodPost && r.URL.Path == "/api/log-append" {
			usual = appendTime
		}
		time.Sleep(usual * time.Duration(p.storeFactor.Load()))
		p.store.ServeHTTP(w, r)
	}))
	return p, err
}

// serve starts an HTTP server on a free loopback port.
func (p *platform) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// close ends all processes and servers, and removes the temporary folder.
func (p *platform) close() {
	for _, h := range p.hosts {
		h.stopForGood()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(p.dir)
}

// announce publishes the entry of a replica.
func (p *platform) announce(id, service, addr string, slots int) error {
	p.sequence++
	entry, err := json.Marshal(map[string]any{"service": service, "address": addr, "zone": "heredia", "version": "v1", "slots": slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": p.sequence, "born": 1})
	if err != nil {
		return err
	}
	return p.store.Put(context.Background(), "servers", id, entry)
}

// configure publishes the next version of the configuration.
func (p *platform) configure(routes []routeSpec, tenants []tenant) error {
	p.version++
	var rs, ts, services []any
	seen := map[string]bool{}
	for _, r := range routes {
		m := map[string]any{"name": r.name, "host": hostName, "path_prefix": "/" + r.name + "/", "kind": r.kind, "service": r.service,
			"timeout_ms": r.timeout.Milliseconds(), "target_latency_ms": 250, "max_attempts": 2, "priority": 1, "public": false}
		s := map[string]any{"name": r.service, "health_path": "/health", "max_connections": 96}
		if r.kind == "streaming" {
			m["retains_context"], m["retention_s"], m["sticky_sessions"], m["gap_aim_ms"] = true, 60, true, 200
			s["max_connections"] = 160
			s["engine"] = map[string]any{"slots": 16, "kv_cache_tokens": 133601, "tokens_per_event": 11}
		}
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, s)
		}
		rs = append(rs, m)
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "rate_per_s": t.rate, "burst": t.burst})
	}
	config, err := json.Marshal(map[string]any{"version": p.version, "routes": rs, "services": services, "tenants": ts,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		return err
	}
	return p.store.Put(context.Background(), "op", "config", config)
}

// host is a machine with one gateway process.
type host struct {
	name, ip, frontend, readiness, settings string
	p                                       *platform

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addHost writes the settings of a host and starts its process.
func (p *platform) addHost(n int) (*host, error) {
	site := os.Getpid() % (1 << 14)
	ip := fmt.Sprintf("127.%d.%d.%d", 128+site>>8, site&0xff, n+1)
	h := &host{name: fmt.Sprintf("frontend-heredia-%d", n+1), ip: ip, frontend: ip + ":8368", readiness: ip + ":8369",
		settings: filepath.Join(p.dir, fmt.Sprintf("host-%d.conf", n)), p: p}
	p.hosts = append(p.hosts, h)
	if err := h.writeSettings(true); err != nil {
		return nil, err
	}
	return h, h.start()
}

// writeSettings writes the settings file of the process. Bootstrap is true only when the whole system starts for the first time.
func (h *host) writeSettings(bootstrap bool) error {
	text := fmt.Sprintf(`node=%s
role=gateway
machine_class=frontend
serves=frontend,directory
ip=%s
zone=heredia
region=valle-central
zones.heredia=valle-central
listen_addresses.frontend=%s
listen_addresses.readiness=%s
listen_addresses.directory=%s:8360
internal_ports=7780,7795
bootstrap=%t
discovery=platform
entry=directory
limits.cpu_share=0.8
limits.cores=1
limits.memory_mb=154
limits.file_descriptors=8200
limits.link_mbps=1000.0
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,agent,stream,engine,tenants,quota,platform
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4.3
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.skew_bound_ms=5000
bounds.fail_closed=true
bounds.revoke_ms=5000
bounds.quota_window_s=5
bounds.quota_overage=0.1
bounds.quota_slack=20
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.deadline_s=10
bounds.settle_ms=1000
bounds.ttl_max_s=5
platform.address=%s
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=8
platform.append_ms=4.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.retention_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
`, h.name, h.ip, h.frontend, h.readiness, h.ip, bootstrap, h.p.addr)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command("target/cowslipgw", "gateway")
	cmd.Env = append(os.Environ(), "COWSLIPGW_BOOT="+h.settings)
	log, err := os.OpenFile(filepath.Join(h.p.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	// A process does not outlive the case.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// stopForGood kills the process.
func (h *host) stopForGood() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// ready reports whether the host answers the platform's check with 200.
func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	r, err := client.Get("http://" + h.readiness + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (p *platform) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		all := true
		for _, h := range p.hosts {
			all = all && h.ready()
		}
		if all {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
