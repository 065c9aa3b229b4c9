package lists_test

import "flag"

// A fixed seed makes the property tests reproducible; -rapid.seed=N selects another
// one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
