package lists

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"cowslipgw/internal/structs"
)

// Bounds of the numbers in the plans list. Values above the upper bounds are treated as
// typing errors: the peak load of the whole fleet is 47,000 requests per second and
// 270,000 tokens per program.
const (
	maxRate    = 1e6
	minRate    = 1e-3
	maxBurst   = 10_000_000
	maxWeight  = 1000
	minWeight  = 1e-3
	maxTokens  = 100_000_000_000
	maxCalls   = 100_000_000
	maxWall    = 90 * 24 * time.Hour
	maxDepth   = 64
	maxContext = 100_000_000
)

// Parse parses and validates both lists. It returns either the lists, with Version 0,
// or the faults.
func Parse(accounts, plans string) (*Lists, []Fault) {
	parsed := &Lists{
		Accounts:     make(map[structs.AccountID]Account),
		Plans:        make(map[string]Plan),
		Routes:       make(map[string]Route),
		Models:       make(map[string]Model),
		AccountsText: accounts,
		PlansText:    plans,
		byKey:        make(map[KeyHash]structs.AccountID),
	}
	var faults []Fault
	var planSections []*section
	for _, s := range readSections(FilePlans, plans, map[string]bool{"plan": true, "route": true, "model": true}, &faults) {
		switch s.kind {
		case "plan":
			parsed.Plans[s.name] = readPlan(s)
			planSections = append(planSections, s)
		case "route":
			parsed.Routes[s.name] = readRoute(s)
		case "model":
			parsed.Models[s.name] = readModel(s)
		}
		s.reportUnknownKeys()
	}
	for _, s := range planSections {
		checkPlan(parsed, s)
	}
	checkRoutes(parsed, &faults)
	for _, s := range readSections(FileAccounts, accounts, map[string]bool{"account": true}, &faults) {
		readAccount(parsed, s)
		s.reportUnknownKeys()
	}
	if len(faults) > 0 {
		return nil, faults
	}
	parsed.indexRoutes()
	return parsed, nil
}

// readPlan reads a plan section.
func readPlan(s *section) Plan {
	plan := Plan{
		Name:   s.name,
		Rate:   s.decimal("rate", minRate, maxRate, 0),
		Burst:  s.number("burst", maxBurst, 0),
		Weight: s.decimal("weight", minWeight, maxWeight, 1),
		Budget: structs.Budget{
			Tokens: s.number("max_tokens", maxTokens, 0),
			Calls:  s.number("max_calls", maxCalls, 0),
			Wall:   s.duration("max_wall", maxWall),
			Depth:  int(s.number("max_depth", maxDepth, 0)),
		},
		Models: s.names("models"),
		Routes: s.names("routes"),
	}
	for _, key := range []string{"rate", "burst"} {
		if _, given := s.values[key]; !given {
			s.addFault(key, "missing", "a positive number")
		}
	}
	return plan
}

// checkPlan reports references of a plan to models and routes that do not exist.
func checkPlan(parsed *Lists, s *section) {
	plan := parsed.Plans[s.name]
	for _, name := range plan.Models {
		if _, ok := parsed.Models[name]; !ok {
			s.addFault("models", fmt.Sprintf("there is no section [model %s]", truncate(name)), strings.Join(sortedKeys(parsed.Models), ", "))
		}
	}
	for _, name := range plan.Routes {
		if _, ok := parsed.Routes[name]; !ok {
			s.addFault("routes", fmt.Sprintf("there is no section [route %s]", truncate(name)), strings.Join(sortedKeys(parsed.Routes), ", "))
		}
	}
}

// readModel reads a model section.
func readModel(s *section) Model {
	model := Model{
		Name:    s.name,
		Pool:    structs.PoolName(s.requireName("pool")),
		Context: s.number("context", maxContext, 0),
	}
	if _, given := s.values["context"]; !given {
		s.addFault("context", "missing", "a positive number of tokens")
	}
	return model
}

// readRoute reads a route section.
func readRoute(s *section) Route {
	route := Route{
		Name:      s.name,
		Pool:      structs.PoolName(s.requireName("pool")),
		Path:      "/",
		Methods:   s.names("methods"),
		Open:      s.flag("open"),
		Retryable: s.flag("repeat"),
	}
	if path, given := s.lookup("path"); given {
		cleaned, ok := CleanPath(path)
		if !ok || strings.ContainsAny(path, "%?# ") || cleaned != path && cleaned+"/" != path {
			s.addFault("path", fmt.Sprintf("invalid path %q", truncate(path)), "an absolute path without '..', '//', '%', '?' and '#'")
		}
		route.Path = cleaned
	}
	for _, method := range route.Methods {
		if !methods[method] {
			s.addFault("methods", fmt.Sprintf("unknown method %q", truncate(method)), strings.Join(sortedKeys(methods), ", "))
		}
	}
	return route
}

// checkRoutes reports routes of the same pool that match the same path and method.
func checkRoutes(parsed *Lists, faults *[]Fault) {
	type routeKey struct {
		pool         structs.PoolName
		path, method string
	}
	routeNames := make(map[routeKey]string)
	for _, name := range sortedKeys(parsed.Routes) {
		route := parsed.Routes[name]
		covered := route.Methods
		if len(covered) == 0 {
			covered = sortedKeys(methods)
		}
		for _, method := range covered {
			key := routeKey{route.Pool, route.Path, method}
			if other, ok := routeNames[key]; ok {
				*faults = append(*faults, Fault{
					File: FilePlans, Section: "route " + name, Key: "path",
					Message: fmt.Sprintf("[route %s] already matches %s %s of pool %s", other, method, route.Path, route.Pool),
				})
				break
			}
			routeNames[key] = name
		}
	}
}

// readAccount reads an account section.
func readAccount(parsed *Lists, s *section) {
	account := Account{ID: structs.AccountID(s.name)}
	account.Plan, _ = s.require("plan", "the name of a plan")
	if _, ok := parsed.Plans[account.Plan]; !ok && account.Plan != "" {
		s.addFault("plan", fmt.Sprintf("there is no section [plan %s]", truncate(account.Plan)), strings.Join(sortedKeys(parsed.Plans), ", "))
	}
	for _, text := range s.names("keys") {
		hash, ok := ParseKeyHash(text)
		if !ok {
			s.addFault("keys", fmt.Sprintf("invalid key hash %q", truncateKeyHash(text)), "sha256: and 64 hexadecimal digits, as `cowslipgw key new` prints")
			continue
		}
		if owner, taken := parsed.byKey[hash]; taken {
			s.addFault("keys", fmt.Sprintf("key %s already belongs to account %s", hash.Short(), owner), "")
			continue
		}
		parsed.byKey[hash] = account.ID
		account.Keys = append(account.Keys, hash)
	}
	sort.Slice(account.Keys, func(i, j int) bool {
		return string(account.Keys[i][:]) < string(account.Keys[j][:])
	})
	parsed.Accounts[account.ID] = account
}

// truncateKeyHash shortens a key hash, so that messages do not contain it in full.
func truncateKeyHash(text string) string {
	const limit = len("sha256:") + 8
	if !strings.HasPrefix(text, "sha256:") || len(text) <= limit {
		return truncate(text)
	}
	return truncate(text[:limit]) + "..."
}
