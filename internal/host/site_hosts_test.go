package host_test

import (
	"context"
	"fmt"

	"cowslipgw/internal/event"
	"cowslipgw/internal/host"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/trace"
)

func hostID(i int) structs.HostID {
	return structs.HostID(fmt.Sprintf("host-%02d", i+1))
}

// start starts the i-th host. It may be used again after a stop or kill.
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
	if s.config.changeSettings != nil {
		s.config.changeSettings(&config)
	}
	logger := event.New(s.config.logOutput, true, 5)
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

// host returns the i-th host, or nil if it is down.
func (s *site) host(i int) *runningHost { return s.hosts[hostID(i)] }

// kill stops a host immediately, as if its process had died.
func (s *site) kill(i int) {
	r := s.host(i)
	s.network.Kill(r.ip)
	r.kill()
	<-r.done
	delete(s.hosts, hostID(i))
}

// stop drains a host and waits until it has stopped.
func (s *site) stop(i int) {
	s.t.Helper()
	r := s.host(i)
	r.stop()
	if err := <-r.done; err != nil {
		s.t.Errorf("host %d stopped with %v", i, err)
	}
	delete(s.hosts, hostID(i))
}

// peerIPs returns the IP addresses of all running hosts except the i-th.
func (s *site) peerIPs(i int) []string {
	var ips []string
	for id, r := range s.hosts {
		if id != hostID(i) {
			ips = append(ips, r.ip)
		}
	}
	return ips
}

// cut cuts the links between a host and other addresses in both directions.
func (s *site) cut(i int, ips ...string) {
	for _, ip := range ips {
		s.network.CutBoth(s.host(i).ip, ip)
	}
}
