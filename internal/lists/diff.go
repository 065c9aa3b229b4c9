package lists

import (
	"fmt"
	"strings"

	"cowslipgw/internal/structs"
)

// maxDiffLines limits the description of one change.
const maxDiffLines = 50

// Diff says in words what differs between two versions. Key hashes are shortened.
func Diff(before, after *Lists) []string {
	var d difference
	d.accounts(before, after)
	compare(&d, "plan", before.Plans, after.Plans, planFields)
	compare(&d, "route", before.Routes, after.Routes, routeFields)
	compare(&d, "model", before.Models, after.Models, modelFields)
	if len(d.lines) == 0 && (before.AccountsText != after.AccountsText || before.PlansText != after.PlansText) {
		d.add("only comments or layout changed")
	}
	if more := len(d.lines) - maxDiffLines; more > 0 {
		d.lines = append(d.lines[:maxDiffLines], fmt.Sprintf("and %d more changes", more))
	}
	return d.lines
}

// difference collects lines.
type difference struct {
	lines []string
}

// add appends one line.
func (d *difference) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

// field is one named value of a section.
type field struct {
	name, value string
}

// compare describes what differs between two maps of sections of one kind.
func compare[K ~string, V any](d *difference, kind string, before, after map[K]V, fields func(V) []field) {
	for _, name := range sortedKeys(before) {
		old := before[K(name)]
		fresh, kept := after[K(name)]
		if !kept {
			d.add("%s %s removed", kind, name)
			continue
		}
		oldFields := fields(old)
		for i, f := range fields(fresh) {
			if f.value != oldFields[i].value {
				d.add("%s %s: %s changed from %s to %s", kind, name, f.name, oldFields[i].value, f.value)
			}
		}
	}
	for _, name := range sortedKeys(after) {
		if _, existed := before[K(name)]; !existed {
			d.add("%s %s added", kind, name)
		}
	}
}

// accounts describes accounts, their plans and their keys.
func (d *difference) accounts(before, after *Lists) {
	compare(d, "account", before.Accounts, after.Accounts, func(a Account) []field {
		return []field{{"plan", a.Plan}}
	})
	for _, id := range sortedKeys(after.Accounts) {
		account := after.Accounts[structs.AccountID(id)]
		for _, key := range account.Keys {
			if owner, ok := before.AccountByKey(key); !ok || owner != account.ID {
				d.add("account %s: key %s added", id, key.Short())
			}
		}
	}
	for _, id := range sortedKeys(before.Accounts) {
		account := before.Accounts[structs.AccountID(id)]
		for _, key := range account.Keys {
			if owner, ok := after.AccountByKey(key); !ok || owner != account.ID {
				d.add("account %s: key %s withdrawn", id, key.Short())
			}
		}
	}
}

// planFields lists what a plan sets.
func planFields(p Plan) []field {
	return []field{
		{"rate", fmt.Sprint(p.Rate)},
		{"burst", fmt.Sprint(p.Burst)},
		{"weight", fmt.Sprint(p.Weight)},
		{"max_tokens", limit(p.Budget.Tokens)},
		{"max_calls", limit(p.Budget.Calls)},
		{"max_wall", limit(p.Budget.Wall)},
		{"max_depth", limit(p.Budget.Depth)},
		{"models", list(p.Models)},
		{"routes", list(p.Routes)},
	}
}

// routeFields lists what a route sets.
func routeFields(r Route) []field {
	return []field{
		{"pool", string(r.Pool)},
		{"path", r.Path},
		{"methods", list(r.Methods)},
		{"open", yesNo(r.Open)},
		{"repeat", yesNo(r.Repeat)},
	}
}

// modelFields lists what a model sets.
func modelFields(m Model) []field {
	return []field{
		{"pool", string(m.Pool)},
		{"context", fmt.Sprint(m.Context)},
	}
}

// limit returns a limit in words; zero is none.
func limit[T comparable](value T) string {
	var none T
	if value == none {
		return "no limit"
	}
	return fmt.Sprint(value)
}

// list returns names in words.
func list(names []string) string {
	if len(names) == 0 {
		return "(none)"
	}
	return strings.Join(names, ",")
}

// yesNo returns a flag as the lists write it.
func yesNo(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}
