package main

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/platform/soak"
)

// soakSeeds are the seeds of every test run. Each seed that has ever failed is added,
// with a comment on the cause.
var soakSeeds = []uint64{
	1, // kills of single hosts, refusals of replicas, lost answers of the store
}

// TestSoak guards against violated guarantees of the real program under external
// faults.
func TestSoak(t *testing.T) {
	is := is.New(t)
	if testing.Short() {
		t.Skip("takes 15 s a seed")
	}
	for _, seed := range soakSeeds {
		report, err := soak.Run(t.Context(), soak.Options{Seed: seed, Hosts: soakHosts, Dir: t.TempDir(),
			Command: []string{os.Args[0], "gateway"}, Env: []string{runMainEnv + "=1"}})
		is.NoErr(err)
		t.Logf("seed %d: requests %v, without a complete answer %v, logs %+v, faults %v", seed, report.Requests, report.Ends, report.Logs, report.Faults)
		is.True(report.Requests[200] > 100)
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}
