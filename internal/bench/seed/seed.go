// Package seed fixes the seed of property tests, so that every run gives the
// same verdict.
//
// # Usage
//
// A test file of each package that uses rapid imports it for its effect:
//
//	import _ "agateward/internal/bench/seed"
//
// The flags -rapid.seed and -rapid.checks on the command line go before it.
package seed

import (
	"flag"

	// Its init registers the flag.
	_ "pgregory.net/rapid"
)

// fixed is the seed of runs that name none.
const fixed = "1"

func init() {
	if err := flag.Set("rapid.seed", fixed); err != nil {
		panic(err)
	}
}
