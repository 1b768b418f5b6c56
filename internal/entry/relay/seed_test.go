package relay

import "flag"

// The seed is fixed, so that every run gives the same verdict; -rapid.seed and
// -rapid.checks on the command line go before it.
func init() { _ = flag.Set("rapid.seed", "1") }
