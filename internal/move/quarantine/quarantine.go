// Package quarantine keeps the set of quarantined versions.
//
// A quarantined version gets no new work. A quarantine takes effect at once at
// the entry that has the evidence, and spreads from entry to entry without a
// lease and without the store. So the set only grows, and merging sets in any
// order, any number of times, gives the same result. A quarantine is lifted only
// by a ticket with a higher number that puts another move to the version in
// force or sets a route to it.
//
// # Usage
//
//	var set quarantine.Set
//	set.Merge([]ward.Quarantine{{Serves: "menus", Version: "v2", Move: "menus-v2", Ticket: 7}})
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

// MaxSize bounds the set. Beyond it the quarantines with the lowest ticket
// numbers are removed.
const MaxSize = 256

// Set is a grow-only set of quarantines. The zero value is empty.
type Set struct{ list []ward.Quarantine }

// Merge adds quarantines and returns those that were new. Two quarantines of the
// same version, route and move by the same ticket count as one, of which the
// earlier stays.
func (s *Set) Merge(quarantines []ward.Quarantine) []ward.Quarantine {
	var added []ward.Quarantine
	for _, q := range quarantines {
		i, found := slices.BinarySearchFunc(s.list, q, compare)
		if found {
			if q.At.Before(s.list[i].At) {
				s.list[i] = q
			}
			continue
		}
		s.list = slices.Insert(s.list, i, q)
		added = append(added, q)
	}
	if len(s.list) > MaxSize {
		s.list = slices.Delete(s.list, 0, len(s.list)-MaxSize)
	}
	return added
}

// List returns the quarantines in a fixed order.
func (s *Set) List() []ward.Quarantine { return slices.Clone(s.list) }

// Digest returns a hash of the set. Equal sets have equal digests.
func (s *Set) Digest() uint64 {
	h := xxhash.New()
	for _, q := range s.list {
		_, _ = h.WriteString(q.Serves + "\x00" + q.Version + "\x00" + q.Route + "\x00" + q.Move + "\x00")
		_, _ = h.Write([]byte{byte(q.Ticket), byte(q.Ticket >> 8), byte(q.Ticket >> 16), byte(q.Ticket >> 24)})
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

// InForce reports whether the version is quarantined on the route under the
// configuration c.
func InForce(quarantines []ward.Quarantine, c *ward.Config, route ward.Route, version string) bool {
	for _, q := range quarantines {
		if q.Serves != route.Serves || q.Version != version || q.Route != "" && q.Route != route.Name {
			continue
		}
		if !lifted(q, c, route) {
			return true
		}
	}
	return false
}

// lifted reports whether a later ticket asks for the version again.
func lifted(q ward.Quarantine, c *ward.Config, route ward.Route) bool {
	if route.Version == q.Version && route.Ticket > q.Ticket {
		return true
	}
	for _, m := range c.Moves {
		if m.Serves == q.Serves && m.To == q.Version && m.Ticket > q.Ticket && !m.Cancelled && Covers(m, route) {
			return true
		}
	}
	return false
}

// Covers reports whether a move applies to the route.
func Covers(m ward.Move, route ward.Route) bool {
	return m.Serves == route.Serves && (len(m.Routes) == 0 || slices.Contains(m.Routes, route.Name))
}
