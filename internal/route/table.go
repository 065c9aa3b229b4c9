package route

import "strings"

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service

	routes   map[string][]*Route
	keys     map[string]*Account
	accounts map[string]*Account
	// storesTurns is set if at least one route stores turns.
	storesTurns bool
	// requireKeys is set if routes that are not public require an API key.
	requireKeys bool
}

// NewTable builds the indexes of a configuration version. RequireKeys reports whether
// routes that are not public require an API key.
func NewTable(version int64, routes []*Route, services []*Service, accounts []*Account, limits Limits, requireKeys bool) *Table {
	t := &Table{
		Version:     version,
		Limits:      limits,
		Services:    make(map[string]*Service, len(services)),
		routes:      make(map[string][]*Route),
		keys:        make(map[string]*Account),
		accounts:    make(map[string]*Account, len(accounts)),
		requireKeys: requireKeys,
	}
	for _, r := range routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
		t.storesTurns = t.storesTurns || r.StoresTurns
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, a := range accounts {
		t.accounts[a.Name] = a
		for _, key := range a.Keys {
			t.keys[key] = a
		}
	}
	return t
}

// StoresTurns reports whether at least one route stores turns.
func (t *Table) StoresTurns() bool { return t.storesTurns }

// Match returns the route on host with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// NeedsKey reports whether requests on r require an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.requireKeys && !r.Public }

// AccountOfKey returns the account that holds key, or nil.
func (t *Table) AccountOfKey(key string) *Account { return t.keys[key] }

// Accounts returns all client accounts by name. Callers must not modify the map.
func (t *Table) Accounts() map[string]*Account { return t.accounts }
