package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Config selects the runs: every policy with every seed, on one deployment and
// scenario.
type Config struct {
	Deployment string
	Scenario   string
	Policies   []string
	Seeds      []uint64
	// Workers is the number of concurrent runs.
	Workers int
}

// Run executes all runs of config and reports progress as they finish. Results are
// ordered by policy, then by seed, regardless of the number of workers.
func Run(ctx context.Context, config Config, progress io.Writer) ([]Result, error) {
	deployment, scenario, specs, err := config.resolve()
	if err != nil {
		return nil, err
	}
	results := make([]Result, len(specs)*len(config.Seeds))
	var group errgroup.Group
	group.SetLimit(max(1, config.Workers))
	var mu sync.Mutex
	done := 0
	for i, spec := range specs {
		for j, seed := range config.Seeds {
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				results[i*len(config.Seeds)+j] = runSeed(deployment, scenario, spec, seed)
				mu.Lock()
				defer mu.Unlock()
				done++
				fmt.Fprintf(progress, "%d of %d: %s %s %s seed %d\n",
					done, len(results), deployment.Name, scenario.Name, spec.name, seed)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return results, nil
}

// resolve looks up the deployment, scenario and policies that the configuration
// names.
func (config Config) resolve() (Deployment, Scenario, []policySpec, error) {
	deployment, err := findByName(deployments(), config.Deployment, "deployment", func(d Deployment) string { return d.Name })
	if err != nil {
		return Deployment{}, Scenario{}, nil, err
	}
	scenario, err := findByName(scenarios(), config.Scenario, "scenario", func(s Scenario) string { return s.Name })
	if err != nil {
		return Deployment{}, Scenario{}, nil, err
	}
	var specs []policySpec
	for _, name := range config.Policies {
		spec, err := parsePolicy(name)
		if err != nil {
			return Deployment{}, Scenario{}, nil, err
		}
		specs = append(specs, spec)
	}
	return deployment, scenario, specs, nil
}

// findByName returns the item with the given name, or an error that lists the valid
// names.
func findByName[T any](items []T, name, what string, nameOf func(T) string) (T, error) {
	var known []string
	for _, item := range items {
		if nameOf(item) == name {
			return item, nil
		}
		known = append(known, nameOf(item))
	}
	var zero T
	return zero, fmt.Errorf("unknown %s %q; known: %s", what, name, strings.Join(known, ", "))
}

// runSeed simulates one policy with one seed. In a paired scenario it repeats the run
// without the noisy account and compares the slowdowns of the other accounts.
func runSeed(d Deployment, s Scenario, spec policySpec, seed uint64) Result {
	shape := s.workloadShape(d)
	result := runWorkload(d, s, spec, newWorkload(d, seed, shape), seed)
	if !s.paired {
		return result
	}
	shape.absent = &d.Noisy
	withoutNoisy := runWorkload(d, s, spec, newWorkload(d, seed, shape), seed)
	for i := range result.Accounts {
		account := &result.Accounts[i]
		if i == d.Noisy || withoutNoisy.Accounts[i].SlowdownP95 == 0 {
			continue
		}
		account.Ratio = account.SlowdownP95 / withoutNoisy.Accounts[i].SlowdownP95
		result.WorstRatio = max(result.WorstRatio, account.Ratio)
	}
	return result
}

func runWorkload(d Deployment, s Scenario, spec policySpec, w workload, seed uint64) Result {
	c := newCluster(d, s, spec, w, seed)
	c.run()
	return c.result(seed)
}

// Validate returns an error if the configuration names an unknown deployment,
// scenario or policy.
func (config Config) Validate() error {
	_, _, _, err := config.resolve()
	return err
}
