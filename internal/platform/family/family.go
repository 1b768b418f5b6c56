// Package family provides the key families of the platform's store. Calls are
// budgeted, metered and counted by family.
//
// # Usage
//
//	f := family.Of("moves/7")      // family.Move
//	k := family.Write              // the kind of CompareAndSwap
//
// The first element of a key is its family: "config", "tickets/12",
// "moves/menu-7", "runs/3". Singular and plural are the same family. All other
// keys belong to Other, which has a small budget.
package family

import "strings"

// Family is a group of keys with a common budget.
type Family string

// Families of keys. Lease covers every call on a lease, whatever its name.
const (
	Config Family = "config"
	Ticket Family = "ticket"
	Move   Family = "move"
	Lease  Family = "lease"
	Run    Family = "run"
	Other  Family = "other"
)

// All returns all families, in the order of the listings.
func All() []Family { return []Family{Config, Ticket, Move, Lease, Run, Other} }

// Kind distinguishes reads from writes.
type Kind string

// Kinds of call. A waiting watch counts as one read.
const (
	Read  Kind = "read"
	Write Kind = "write"
)

// Count is the number of calls of one family and kind.
type Count struct {
	Family Family `json:"family"`
	Kind   Kind   `json:"kind"`
	// Sent counts the calls sent to the store, Refused those over budget, which
	// were not sent.
	Sent    uint64 `json:"sent"`
	Refused uint64 `json:"refused"`
}

// Of returns the family of a key.
func Of(key string) Family {
	word, _, _ := strings.Cut(key, "/")
	switch word {
	case "config":
		return Config
	case "ticket", "tickets":
		return Ticket
	case "move", "moves":
		return Move
	case "run", "runs":
		return Run
	}
	return Other
}
