package fleet

import "flag"

// The fixed seed makes the property tests deterministic. Pass -rapid.seed=N to try
// another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
