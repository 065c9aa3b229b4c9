package entry

import (
	"cmp"
	"net"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// domainParameter is the query parameter with which a caller names its failure domain.
// Without it, the caller is assumed to be in the domain of the host that it contacts.
const domainParameter = "failure_domain"

// entryHost is one address at which callers are served.
type entryHost struct {
	Address string         `json:"address"`
	Region  structs.Region `json:"region"`
	Domain  structs.Domain `json:"failure_domain"`
}

// entryHosts is the response to GET /v1/entry-hosts.
type entryHosts struct {
	Hosts []entryHost `json:"hosts"`
	TTL   int64       `json:"ttl_seconds"`
}

// serveHosts handles GET /v1/entry-hosts.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		s.writeMethodNotAllowed(w, http.MethodGet)
		return
	}
	view := s.options.Hosts.View()
	self, _ := view.Find(s.options.Hosts.Self())
	domain := self.Domain
	if named := r.URL.Query().Get(domainParameter); named != "" {
		domain = structs.Domain(named)
	}
	answer := entryHosts{Hosts: []entryHost{}, TTL: wholeSeconds(s.options.Limits.HostsTTL)}
	for _, host := range orderHosts(s.acceptingHosts(view), self.Region, domain, callerID(r)) {
		answer.Hosts = append(answer.Hosts, entryHost{Address: host.EntryAddress, Region: host.Region, Domain: host.Domain})
	}
	w.Header().Set("Cache-Control", "no-store")
	s.writeJSON(w, http.StatusOK, answer)
}

// acceptingHosts returns the hosts of a view that accept new callers.
func (s *Server) acceptingHosts(view *fleet.View) []fleet.Host {
	var hosts []fleet.Host
	for _, host := range view.Hosts {
		if host.Leaving || host.ID == s.options.Hosts.Self() && s.draining.Load() {
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// callerID returns a string that distinguishes callers, so that each gets its own order
// of hosts.
func callerID(r *http.Request) string {
	if key := r.Header.Get("Authorization"); key != "" {
		return key
	}
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return address
}

// orderHosts sorts hosts in the caller's failure domain first, then those in its
// region, then all others. Within each group, rendezvous hashing spreads the callers
// over the hosts and keeps a caller's order stable when other hosts join or leave.
func orderHosts(hosts []fleet.Host, region structs.Region, domain structs.Domain, caller string) []fleet.Host {
	distance := func(host fleet.Host) int {
		switch {
		case host.Domain == domain:
			return 0
		case host.Region == region:
			return 1
		}
		return 2
	}
	weight := func(host fleet.Host) uint64 {
		return xxhash.Sum64String(caller + "\x00" + string(host.ID))
	}
	slices.SortFunc(hosts, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(weight(b), weight(a)))
	})
	return hosts
}
