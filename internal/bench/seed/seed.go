// Package seed fixes the seed of property tests, so that every run gives the
// same result.
//
// # Usage
//
// A test file of each package that uses rapid imports it for its effect:
//
//	import _ "agateward/internal/bench/seed"
//
// The flags -rapid.seed and -rapid.checks on the command line override it.
package seed

import (
	"flag"

	// Registers the flag rapid.seed.
	_ "pgregory.net/rapid"
)

// defaultSeed is the seed of runs without the flag -rapid.seed.
const defaultSeed = "1"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}
