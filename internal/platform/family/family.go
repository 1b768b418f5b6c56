// Package family provides the key families of the platform's store: the unit
// in which its calls are budgeted, metered and counted.
//
// # Usage
//
//	f := family.Of("moves/7")      // family.Move
//	k := family.Write              // what CompareAndSwap counts as
//
// Keys are made of a family word and a path: "config", "tickets/12",
// "moves/menu-7", "runs/3". The singular and the plural are the same family. A
// key with another first word belongs to Other, which has a small budget.
package family

import "strings"

// Family is a group of keys that shares one budget.
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

// All returns the families in the order in which they are listed.
func All() []Family { return []Family{Config, Ticket, Move, Lease, Run, Other} }

// Kind is what the platform counts a call as.
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
	// Sent counts calls that went to the store, Refused those over budget.
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
