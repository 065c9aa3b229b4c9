package partition

import "flag"

// init fixes the seed, so that every run has the same result; -rapid.seed=N runs other
// seeds by hand.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
