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

// domainParameter lets a caller name its failure domain. Without it, the caller is
// taken to be in the domain of the host that it asks.
const domainParameter = "failure_domain"

// entryHost is one address for callers.
type entryHost struct {
	Address string         `json:"address"`
	Region  structs.Region `json:"region"`
	Domain  structs.Domain `json:"failure_domain"`
}

// entryHosts is the answer of GET /v1/entry-hosts.
type entryHosts struct {
	Hosts []entryHost `json:"hosts"`
	TTL   int64       `json:"ttl_seconds"`
}

// serveHosts answers GET /v1/entry-hosts.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		s.refuseMethod(w, http.MethodGet)
		return
	}
	view := s.options.Hosts.View()
	self, _ := view.Find(s.options.Hosts.Self())
	domain := self.Domain
	if named := r.URL.Query().Get(domainParameter); named != "" {
		domain = structs.Domain(named)
	}
	answer := entryHosts{Hosts: []entryHost{}, TTL: wholeSeconds(s.options.Limits.HostsTTL)}
	for _, host := range orderHosts(s.takingCallers(view), self.Region, domain, callerID(r)) {
		answer.Hosts = append(answer.Hosts, entryHost{Address: host.EntryAddress, Region: host.Region, Domain: host.Domain})
	}
	w.Header().Set("Cache-Control", "no-store")
	s.writeJSON(w, http.StatusOK, answer)
}

// takingCallers returns the hosts of a view that take new callers.
func (s *Server) takingCallers(view *fleet.View) []fleet.Host {
	var hosts []fleet.Host
	for _, host := range view.Hosts {
		if host.Leaving || host.ID == s.options.Hosts.Self() && s.draining.Load() {
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// callerID tells callers apart, so that each gets an order of its own.
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

// orderHosts puts hosts of the caller's failure domain first, then those of its
// region. Within each group, a rendezvous hash spreads the callers and keeps a
// caller's order when other hosts come and go.
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
