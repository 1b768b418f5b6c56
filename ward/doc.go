// Package ward holds the interfaces that agateward reaches every outside
// system through, and the plain data structs that cross them.
//
// It is the one package that every other package may import, and it imports
// none of them. An adapter for another store, engine or list of instances is
// one new package that implements an interface of this one.
//
// # Usage
//
// Deciders take the structs of this package as events and return them as
// actions. Runners hold the interfaces:
//
//	type runner struct {
//		store ward.Store
//		clock ward.Clock
//	}
//
// Durations are time.Duration in code and strings such as "250ms" in the
// project's own formats (see Duration). Tiers count from TierTop downwards.
// Sizes are in bytes, prompt and output lengths in tokens.
package ward
