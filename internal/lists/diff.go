package lists

import (
	"fmt"
	"strings"

	"cowslipgw/internal/structs"
)

// maxDiffLines limits the number of lines that describe one change.
const maxDiffLines = 50

// Diff describes the differences between two versions, one per line. Key hashes are
// shortened.
func Diff(before, after *Lists) []string {
	var d diffLines
	d.compareAccounts(before, after)
	compareSections(&d, "plan", before.Plans, after.Plans, planFields)
	compareSections(&d, "route", before.Routes, after.Routes, routeFields)
	compareSections(&d, "model", before.Models, after.Models, modelFields)
	if len(d.lines) == 0 && (before.AccountsText != after.AccountsText || before.PlansText != after.PlansText) {
		d.add("only comments or layout changed")
	}
	if more := len(d.lines) - maxDiffLines; more > 0 {
		d.lines = append(d.lines[:maxDiffLines], fmt.Sprintf("and %d more changes", more))
	}
	return d.lines
}

// diffLines collects the lines of a diff.
type diffLines struct {
	lines []string
}

// add appends one formatted line.
func (d *diffLines) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

// field is one key of a section with its formatted value.
type field struct {
	name, value string
}

// compareSections describes the differences between two maps of sections of the same
// kind.
func compareSections[K ~string, V any](d *diffLines, kind string, before, after map[K]V, fields func(V) []field) {
	for _, name := range sortedKeys(before) {
		old := before[K(name)]
		updated, exists := after[K(name)]
		if !exists {
			d.add("%s %s removed", kind, name)
			continue
		}
		oldFields := fields(old)
		for i, f := range fields(updated) {
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

// compareAccounts describes the differences in the accounts, their plans and their
// keys.
func (d *diffLines) compareAccounts(before, after *Lists) {
	compareSections(d, "account", before.Accounts, after.Accounts, func(a Account) []field {
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

// planFields returns the formatted values of a plan.
func planFields(p Plan) []field {
	return []field{
		{"rate", fmt.Sprint(p.Rate)},
		{"burst", fmt.Sprint(p.Burst)},
		{"weight", fmt.Sprint(p.Weight)},
		{"max_tokens", formatLimit(p.Budget.Tokens)},
		{"max_calls", formatLimit(p.Budget.Calls)},
		{"max_wall", formatLimit(p.Budget.Wall)},
		{"max_depth", formatLimit(p.Budget.Depth)},
		{"models", formatNames(p.Models)},
		{"routes", formatNames(p.Routes)},
	}
}

// routeFields returns the formatted values of a route.
func routeFields(r Route) []field {
	return []field{
		{"pool", string(r.Pool)},
		{"path", r.Path},
		{"methods", formatNames(r.Methods)},
		{"open", yesNo(r.Open)},
		{"repeat", yesNo(r.Retryable)},
	}
}

// modelFields returns the formatted values of a model.
func modelFields(m Model) []field {
	return []field{
		{"pool", string(m.Pool)},
		{"context", fmt.Sprint(m.Context)},
	}
}

// formatLimit formats a limit; zero means no limit.
func formatLimit[T comparable](value T) string {
	var none T
	if value == none {
		return "no limit"
	}
	return fmt.Sprint(value)
}

// formatNames formats a list of names.
func formatNames(names []string) string {
	if len(names) == 0 {
		return "(none)"
	}
	return strings.Join(names, ",")
}

// yesNo formats a flag the way it is written in the lists.
func yesNo(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}
