package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Config says what to run: every policy with every seed, on one deployment and
// scenario.
type Config struct {
	Deployment string
	Scenario   string
	Policies   []string
	Seeds      []uint64
	// Workers is how many runs go on at once.
	Workers int
}

// Run runs the bench and writes progress. Results are in order of policies, then
// seeds, whatever the number of workers.
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
				results[i*len(config.Seeds)+j] = runOne(deployment, scenario, spec, seed)
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

// resolve finds what the configuration names.
func (config Config) resolve() (Deployment, Scenario, []policySpec, error) {
	deployment, err := findNamed(deployments(), config.Deployment, "deployment", func(d Deployment) string { return d.Name })
	if err != nil {
		return Deployment{}, Scenario{}, nil, err
	}
	scenario, err := findNamed(scenarios(), config.Scenario, "scenario", func(s Scenario) string { return s.Name })
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

// findNamed returns the item of a name, or an error that lists the known ones.
func findNamed[T any](items []T, name, what string, nameOf func(T) string) (T, error) {
	var known []string
	for _, item := range items {
		if nameOf(item) == name {
			return item, nil
		}
		known = append(known, nameOf(item))
	}
	var none T
	return none, fmt.Errorf("unknown %s %q; known: %s", what, name, strings.Join(known, ", "))
}

// runOne runs one policy with one seed, and in a paired scenario once more without
// the loud account.
func runOne(d Deployment, s Scenario, spec policySpec, seed uint64) Result {
	shape := s.shape(d)
	result := runWorkload(d, s, spec, newWorkload(d, seed, shape), seed)
	if !s.paired {
		return result
	}
	shape.absent = &d.Loud
	quiet := runWorkload(d, s, spec, newWorkload(d, seed, shape), seed)
	for i := range result.Accounts {
		account := &result.Accounts[i]
		if i == d.Loud || quiet.Accounts[i].SlowdownP95 == 0 {
			continue
		}
		account.Ratio = account.SlowdownP95 / quiet.Accounts[i].SlowdownP95
		result.WorstRatio = max(result.WorstRatio, account.Ratio)
	}
	return result
}

func runWorkload(d Deployment, s Scenario, spec policySpec, w workload, seed uint64) Result {
	c := newCluster(d, s, spec, w, seed)
	c.run()
	return c.result(seed)
}

// Validate says whether the configuration names only known things.
func (config Config) Validate() error {
	_, _, _, err := config.resolve()
	return err
}
