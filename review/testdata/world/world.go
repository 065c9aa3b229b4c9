package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Names and bounds of the deployment.
const (
	hostName   = "ficu95.example"
	region     = "valle-central"
	chatPath   = "/pufi791/4b"
	statusPath = "/pule252/2f"
	bookPath   = "/lohu930/2f"
	grace      = 8 * time.Second
	revokeTime = 5 * time.Second
	// maxBodyBytes is the limit of the configuration for what a client may send.
	maxBodyBytes = 4194304
	// retention is how long a turn is kept.
	retention = 60 * time.Second
)

var zones = []string{"heredia", "alajuela", "cartago", "san-jose"}

// Tenant is a client account with its keys and its allowance.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
}

// World is a deployment: a store, replicas, an operator, clients and the hosts under test.
type World struct {
	record    *Record
	dir       string
	store     *Store
	storeAddr string
	runs      *Runs
	clients   *Clients
	tenants   []Tenant
	firstPort int
	network   string
	stop      chan struct{}

	mu      sync.Mutex
	hosts   []*Host
	version int
	// begun is the number of calls of firstTurnsReach.
	begun int
}

// newWorld starts the store and the replicas.
func newWorld(record *Record, dir string, tenants []Tenant) (*World, error) {
	w := &World{record: record, dir: dir, store: NewStore(record), runs: &Runs{byID: make(map[string][]Run)}, tenants: tenants,
		stop: make(chan struct{})}
	w.clients = NewClients(record, w.Hosts)
	if err := w.chooseNetwork(); err != nil {
		return nil, err
	}
	var err error
	if w.storeAddr, err = serve(w.store); err != nil {
		return nil, err
	}
	for n := range 12 {
		p := &Replica{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: "huvo11a", Zone: zones[n%len(zones)], Engine: true, Slots: 16,
			born: time.Now().UnixMilli(), runs: w.runs, record: record}
		if n >= 8 {
			p.Service, p.Engine, p.Slots, p.Work = "wuno96b", false, 6, 40*time.Millisecond
		}
		if p.Addr, err = serve(p); err != nil {
			return nil, err
		}
		go p.announce(w.store, w.stop)
	}
	w.PutConfig()
	return w, nil
}

// chooseNetwork chooses loopback addresses and ports for the hosts that are free.
func (w *World) chooseNetwork() error {
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
		w.firstPort = 20000 + rand.IntN(100)*30
		free := true
		for n := range 26 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", w.network, w.firstPort+n))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

// serve starts a server for handler on a free loopback port.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// PutConfig writes the next version of the configuration with the current tenants. The store's
// confirmation is its return.
func (w *World) PutConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + rand.IntN(3)
	route := func(name, prefix, kind, service string, timeout int) map[string]any {
		return map[string]any{"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 250,
			"priority": 1, "service": service, "max_attempts": 2, "public": false}
	}
	chat := route("r-chat", "/pufi791/", "streaming", "huvo11a", 3000)
	chat["retains_context"], chat["retention_s"], chat["sticky_sessions"] = true, retention.Seconds(), true
	chat["resumable"], chat["gap_aim_ms"] = false, 200
	book := route("r-book", "/lohu930/", "unsafe", "wuno96b", 2000)
	book["max_attempts"] = 1
	if w.tenants == nil {
		w.tenants = []Tenant{}
	}
	config, err := json.Marshal(map[string]any{
		"version": w.version,
		"routes":  []any{chat, route("r-status", "/pule252/", "safe", "wuno96b", 1200), book},
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/health", "max_connections": 160, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 16, "kv_cache_tokens": 133601, "tokens_per_event": tokensPerEvent}},
			map[string]any{"name": "wuno96b", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": w.tenants,
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("op", "config", config)
	w.record.Log("config", map[string]any{"version": w.version, "tenants": len(w.tenants), "event": "confirmed"})
}

// Hosts returns the hosts that were added and not removed.
func (w *World) Hosts() []*Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Host(nil), w.hosts...)
}

// AddHost starts a host and waits until it is ready.
func (w *World) AddHost(zone string) (*Host, error) {
	w.mu.Lock()
	n := len(w.hosts) + 1
	w.mu.Unlock()
	h, err := newHost(w, fmt.Sprintf("frontend-%s-%d", zone, n), fmt.Sprintf("%s%d", w.network, n), zone)
	if err != nil {
		return nil, err
	}
	if err := h.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	for deadline := time.Now().Add(15 * time.Second); !h.Ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("host %s is not ready", h.Name)
		}
	}
	w.record.Say("host %s is ready", h.Name)
	return h, nil
}

// AddHosts starts several hosts and waits until all are ready and know each other.
func (w *World) AddHosts(count int) error {
	for n := range count {
		if _, err := w.AddHost(zones[n%len(zones)]); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); len(askDirectory(w.hosts[0])) < count; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("hosts do not know each other")
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// Close ends all processes.
func (w *World) Close() {
	close(w.stop)
	w.clients.CloseIdle()
	for _, h := range w.Hosts() {
		h.end()
		if os.Getenv("KEEP_LOGS") != "" {
			data, _ := os.ReadFile(h.logPath)
			_ = os.WriteFile(os.Getenv("KEEP_LOGS")+"/"+h.Name+".log", data, 0o600)
		}
	}
}
