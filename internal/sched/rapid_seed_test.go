package sched_test

import "flag"

// The fixed seed makes every run reproducible. Pass -rapid.seed=N to try other
// seeds.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
