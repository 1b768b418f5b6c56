// Package ward defines the interfaces through which agateward reaches every
// external system, and the plain data structs that they exchange.
//
// Every other package may import it, and it imports none of them. An adapter for
// another store, engine or list of instances is one new package that implements
// an interface of this one.
//
// # Usage
//
// Packages without input and output take the structs of this package as events
// and return them as actions. Packages that do input and output hold the
// interfaces:
//
//	type runner struct {
//		store ward.Store
//		clock ward.Clock
//	}
//
// Durations are time.Duration in code and strings such as "250ms" in the
// project's own formats (see Duration). TierTop is the highest tier.
// Sizes are in bytes, prompt and output lengths in tokens.
package ward
