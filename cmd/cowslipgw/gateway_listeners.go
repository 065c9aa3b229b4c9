package main

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/intake"
	"cowslipgw/platform"
)

// unusedTimeout is the time for which a connection may be unused where its listener sets no limit.
const unusedTimeout = 5 * time.Minute

// endpoint is an HTTP server with its listen address and the limits of its connections.
type endpoint struct {
	server  *http.Server
	addr    string
	options intake.Options
}

// endpoints returns the servers of the host.
func (p *gatewayProcess) endpoints(frontend, relays *http.Server) []endpoint {
	listeners := []endpoint{
		{frontend, p.settings.Frontend, intake.Options{Name: "callers", Connections: p.capacity.Callers, Limits: p.callerLimits}},
		{&http.Server{Handler: platform.NewReadiness(p.ready)}, p.settings.Readiness,
			intake.Options{Name: "readiness", Connections: p.capacity.Checks}},
		{&http.Server{Handler: metricsHandler(p.replicas)}, net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstPort+metricsPort)),
			intake.Options{Name: "metrics", Connections: p.capacity.Checks}},
		{relays, p.table.Self().Relay, intake.Options{Name: "relays", Connections: p.capacity.Hosts, Limits: relayLimits, Trusted: p.table.IsHost}},
	}
	if p.settings.Directory != "" {
		directory := platform.NewDirectory(p.entryAddresses, min(resolveTTL, p.settings.ResolveTTL))
		listeners = append(listeners, endpoint{&http.Server{Handler: directory}, p.settings.Directory,
			intake.Options{Name: "directory", Connections: p.capacity.Directory}})
	}
	return listeners
}

// callerLimits returns the limits of the configuration in effect.
func (p *gatewayProcess) callerLimits() intake.Limits {
	table := p.config.Table()
	if table == nil {
		return intake.Limits{}
	}
	return intake.Limits{HeaderBytes: table.Limits.HeaderBytes, HeaderTimeout: table.Limits.HeaderTimeout, IdleTimeout: table.Limits.IdleTimeout}
}

// relayLimits returns the limits of requests that other hosts pass on. Their heads are those of
// callers with what the hosts add.
func relayLimits() intake.Limits { return intake.Limits{HeaderBytes: intake.MaxHeaderBytes} }

// Parts of the memory for heads that calls of other hosts, and those of unknown addresses, may use in addition.
const strangerCallShare = 4

// callMemory returns the memory for calls by the address of the other end. Unknown addresses have a
// smaller one of their own, so that they do not keep hosts from calling.
func (p *gatewayProcess) callMemory() func(addr string) *intake.Memory {
	hosts := intake.NewMemory(p.capacity.HeadBytes)
	strangers := intake.NewMemory(p.capacity.HeadBytes / strangerCallShare)
	return func(addr string) *intake.Memory {
		if p.table.IsHost(addr) {
			return hosts
		}
		return strangers
	}
}
