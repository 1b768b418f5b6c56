// Package quarantine keeps the quarantines of versions.
//
// A quarantine is a stop: it takes effect at once where the evidence is and
// spreads from entry to entry without a lease and without the store. So the set
// only grows, and merging it in any order, any number of times, gives the same
// set. A quarantine is lifted only by a ticket with a higher number, which puts
// another move to the version in force or sets a route to it.
//
// # Usage
//
//	var set quarantine.Set
//	set.Merge([]ward.Brake{{Serves: "menus", Version: "v2", Move: "menus-v2", Ticket: 7}})
//	if quarantine.InForce(set.List(), &cfg, route, "v2") {
//		return
//	}
package quarantine

import (
	"cmp"
	"slices"

	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

// MaxSize bounds the set. Beyond it the ones of the lowest tickets leave.
const MaxSize = 256

// Set is a grow-only set of quarantines. The zero value is empty.
type Set struct{ list []ward.Quarantine }

// Merge adds brakes and returns those that were not known. Two quarantines of
// the same version, route and move by the same ticket are one; the earlier
// stays.
func (s *Set) Merge(brakes []ward.Quarantine) []ward.Quarantine {
	var added []ward.Quarantine
	for _, b := range brakes {
		i, found := slices.BinarySearchFunc(s.list, b, compare)
		if found {
			if b.At.Before(s.list[i].At) {
				s.list[i] = b
			}
			continue
		}
		s.list = slices.Insert(s.list, i, b)
		added = append(added, b)
	}
	if len(s.list) > MaxSize {
		s.list = slices.Delete(s.list, 0, len(s.list)-MaxSize)
	}
	return added
}

// List returns the quarantines in a fixed order.
func (s *Set) List() []ward.Quarantine { return slices.Clone(s.list) }

// Digest sums the set up: equal sets have equal digests.
func (s *Set) Digest() uint64 {
	h := xxhash.New()
	for _, b := range s.list {
		_, _ = h.WriteString(b.Serves + "\x00" + b.Version + "\x00" + b.Route + "\x00" + b.Move + "\x00")
		_, _ = h.Write([]byte{byte(b.Ticket), byte(b.Ticket >> 8), byte(b.Ticket >> 16), byte(b.Ticket >> 24)})
	}
	return h.Sum64()
}

func compare(a, b ward.Quarantine) int {
	return cmp.Or(
		cmp.Compare(a.Ticket, b.Ticket),
		cmp.Compare(a.Move, b.Move),
		cmp.Compare(a.Serves, b.Serves),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Route, b.Route),
	)
}

// InForce tells whether a quarantine keeps the version off the route under the
// configuration c.
func InForce(brakes []ward.Quarantine, c *ward.Config, route ward.Route, version string) bool {
	for _, b := range brakes {
		if b.Serves != route.Serves || b.Version != version || b.Route != "" && b.Route != route.Name {
			continue
		}
		if !lifted(b, c, route) {
			return true
		}
	}
	return false
}

// lifted tells whether a later ticket asks for the version again.
func lifted(b ward.Quarantine, c *ward.Config, route ward.Route) bool {
	if route.Version == b.Version && route.Ticket > b.Ticket {
		return true
	}
	for _, m := range c.Moves {
		if m.Serves == b.Serves && m.To == b.Version && m.Ticket > b.Ticket && !m.Cancelled && Covers(m, route) {
			return true
		}
	}
	return false
}

// Covers tells whether a move moves the route.
func Covers(m ward.Move, route ward.Route) bool {
	return m.Serves == route.Serves && (len(m.Routes) == 0 || slices.Contains(m.Routes, route.Name))
}
