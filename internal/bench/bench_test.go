package bench

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func runJSON(t *testing.T, scenario string, workers int) string {
	t.Helper()
	config := Config{
		Deployment: "retazo", Scenario: scenario,
		Policies: []string{"cowslip", "sticky"}, Seeds: []uint64{7}, Workers: workers,
	}
	results, err := Run(t.Context(), config, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := WriteJSON(&out, results); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// TestDeterminism guards against results that depend on map iteration order or on the
// number of workers. The host-loss scenario covers every random choice.
func TestDeterminism(t *testing.T) {
	if runJSON(t, "host-loss", 1) != runJSON(t, "host-loss", 4) {
		t.Fatal("the same seed gave two results")
	}
}

// TestWorkloadWithoutNoisyAccount guards against comparing different workloads: the
// programs of the other accounts must be the same without the noisy account.
func TestWorkloadWithoutNoisyAccount(t *testing.T) {
	is := is.New(t)
	for _, d := range deployments() {
		scenario, err := findByName(scenarios(), "noisy-account", "scenario", func(s Scenario) string { return s.Name })
		is.NoErr(err)
		shape := scenario.workloadShape(d)
		with := newWorkload(d, 1, shape)
		shape.absent = &d.Noisy
		without := newWorkload(d, 1, shape)
		var others []*program
		for _, p := range with.programs {
			if p.account != d.Noisy {
				others = append(others, p)
			}
		}
		is.Equal(len(others), len(without.programs))
		for i, p := range others {
			is.Equal(p.number, without.programs[i].number)
			is.Equal(p.start, without.programs[i].start)
			is.Equal(p.calls(), without.programs[i].calls())
		}
	}
}

// TestReferenceLimiter guards against miscounted refusals: a refusal is wrong only if
// the fleet-wide bucket would have admitted the call.
func TestReferenceLimiter(t *testing.T) {
	is := is.New(t)
	r := newReferenceLimiter([]accountLimit{{rate: 1, burst: 2}})
	r.observe(0, true, 0, 0)
	r.observe(0, false, 0, 0) // wrong: one token is available
	r.observe(0, true, 0, 0)
	r.observe(0, false, time.Second/2, 0)                          // right
	r.observe(0, false, 1001*time.Millisecond, 2*time.Millisecond) // right: the token accrued after the decision
	r.observe(0, false, 1001*time.Millisecond, 0)                  // wrong
	is.Equal(r.requests, 6)
	is.Equal(r.refused, 4)
	is.Equal(r.wrongRefusals, 2)
}

// TestEntitlements guards against entitlements above the offered work and against
// ignored weights.
func TestEntitlements(t *testing.T) {
	is := is.New(t)
	accounts := []Account{{Weight: 1}, {Weight: 1}, {Weight: 2}}
	offered := []time.Duration{10, 100, 100}
	served := []time.Duration{10, 50, 30}
	got := entitlements(accounts, offered, served)
	is.Equal(got[0], 10.0)
	is.True(got[1] > 26.6 && got[1] < 26.7) // a third of the remaining 80
	is.True(got[2] > 53.3 && got[2] < 53.4)
}

// TestReports guards against reports that omit a policy or a measure.
func TestReports(t *testing.T) {
	is := is.New(t)
	results := []Result{{Deployment: "d", Scenario: "s", Policy: "a", Seed: 1}, {Policy: "b<", Seed: 1}}
	var table, html bytes.Buffer
	is.NoErr(WriteTable(&table, results))
	is.NoErr(WriteHTML(&html, results))
	for _, c := range columns() {
		is.True(strings.Contains(table.String(), c.title))
		is.True(strings.Contains(html.String(), c.title))
	}
	is.True(strings.Contains(html.String(), "b&lt;"))
	is.True(!strings.Contains(html.String(), "http://")) // self-contained
}

// TestUnknownNames guards against a misspelt name that silently selects something
// else.
func TestUnknownNames(t *testing.T) {
	is := is.New(t)
	good := Config{Deployment: "retazo", Scenario: "steady", Policies: []string{"sticky@8"}}
	is.NoErr(good.Validate())
	for _, change := range []func(*Config){
		func(c *Config) { c.Deployment = "x" },
		func(c *Config) { c.Scenario = "x" },
		func(c *Config) { c.Policies = []string{"x"} },
		func(c *Config) { c.Policies = []string{"sticky@0"} },
	} {
		bad := good
		change(&bad)
		is.True(bad.Validate() != nil)
	}
}
