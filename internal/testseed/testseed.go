// Package testseed sets a fixed seed for property tests, so that each run gives
// the same result. Tests import it for its side effect; the command-line flags of
// package rapid override it.
package testseed

import (
	"flag"

	// Defines the flags that init sets.
	_ "pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
