package bench

import (
	"fmt"
	"strconv"
	"strings"

	"cowslipgw/internal/sched"
)

// policySpec is a policy named on the command line as NAME or NAME@LIMIT, where LIMIT
// is the maximum number of calls in flight at a replica. The production policy also
// takes settings: cowslip:hold=0:ageing=100.
type policySpec struct {
	name string
	// make returns a new policy. Each new dispatcher starts with one.
	make func() sched.Policy
	// fixedShares selects fixed per-host shares of the rate limits.
	fixedShares bool
}

// policyNames returns the known policies; the first is the production policy.
func policyNames() []string {
	return []string{"cowslip", "round-robin", "least-load", "sticky", "sticky-spill", "fixed-share"}
}

// baselineLimit is the baselines' default limit of calls in flight: the slots of the
// emulated engine.
const baselineLimit = 16

// parsePolicy parses a policy with its limit and settings.
func parsePolicy(text string) (policySpec, error) {
	head, options, hasOptions := strings.Cut(text, ":")
	name, limitText, hasLimit := strings.Cut(head, "@")
	settings := sched.DefaultSettings()
	limit := baselineLimit
	if hasLimit {
		value, err := strconv.Atoi(limitText)
		if err != nil || value < 1 {
			return policySpec{}, fmt.Errorf("policy %q: the limit must be a positive number", text)
		}
		limit = value
		settings.MaxInFlight = value
	}
	if hasOptions {
		if name != "cowslip" && name != "fixed-share" {
			return policySpec{}, fmt.Errorf("policy %q: only cowslip and fixed-share take settings", text)
		}
		if err := applySettings(&settings, options); err != nil {
			return policySpec{}, fmt.Errorf("policy %q: %w", text, err)
		}
	}
	spec := policySpec{name: text}
	switch name {
	case "cowslip":
		spec.make = func() sched.Policy { return sched.NewFair(settings) }
	case "fixed-share":
		spec.fixedShares = true
		spec.make = func() sched.Policy { return sched.NewFair(settings) }
	case "round-robin":
		spec.make = func() sched.Policy { return newBaseline(limit, &roundRobin{}) }
	case "least-load":
		spec.make = func() sched.Policy { return newBaseline(limit, leastReportedLoad{}) }
	case "sticky":
		spec.make = func() sched.Policy { return newBaseline(limit, newSticky(false)) }
	case "sticky-spill":
		spec.make = func() sched.Policy { return newBaseline(limit, newSticky(true)) }
	default:
		return policySpec{}, fmt.Errorf("unknown policy %q; known: %s", name, strings.Join(policyNames(), ", "))
	}
	return spec, nil
}
