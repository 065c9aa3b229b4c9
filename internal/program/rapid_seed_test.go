package program_test

import "flag"

// A fixed seed gives one verdict on every run; -rapid.seed=N plays others by hand.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
