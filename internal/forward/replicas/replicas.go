// Package replicas provides the set of registered upstreams, from the lists and
// changes that the platform's store gives and from what peers pass on.
//
// # Usage
//
//	var s replicas.Set
//	s.List(listed, 530, now)
//	s.Put(r, 531)
//	s.Remove(id, 532, now)
//	s.Sweep(now)
//	for _, r := range s.All(now) { ... }
//
// A registration that lapses while the store is away comes back soon after its
// return, so a list that lacks an upstream does not remove it before
// ReturnTime has passed.
package replicas

import (
	"sort"
	"time"

	"agateward/ward"
)

// MissingGrace is how long after its absence from a list an upstream is kept: the
// platform states about two seconds for lapsed registrations to return.
const MissingGrace = 2 * time.Second

// Entry is one registration with the revision that the store gave it.
type Entry struct {
	ward.Replica
	Revision uint64
	// MissingFor is how long the registration has been missing, 0 when it is there.
	// All sets it.
	MissingFor time.Duration
	// missingSince is when a list first lacked the upstream.
	missingSince time.Time
}

// Set is the set of upstreams. Its zero value is empty.
type Set struct {
	// Revision is the newest store revision among the changes that were taken.
	Revision uint64
	entries  map[string]*Entry
	removed  map[string]uint64
}

// Put adds or changes an upstream, and tells whether anything changed. An older
// revision than the known one is ignored.
func (s *Set) Put(r ward.Replica, revision uint64) bool {
	if s.entries == nil {
		s.entries, s.removed = make(map[string]*Entry), make(map[string]uint64)
	}
	if s.removed[r.ID] >= revision && revision > 0 {
		return false
	}
	e := s.entries[r.ID]
	if e != nil && e.Revision > revision {
		return false
	}
	s.Revision = max(s.Revision, revision)
	if e != nil && e.Replica == r {
		e.Revision, e.missingSince = revision, time.Time{}
		return false
	}
	s.entries[r.ID] = &Entry{Replica: r, Revision: revision}
	return true
}

// Remove takes an upstream out and tells whether it was known.
func (s *Set) Remove(id string, revision uint64) bool {
	if s.entries == nil {
		s.entries, s.removed = make(map[string]*Entry), make(map[string]uint64)
	}
	s.Revision = max(s.Revision, revision)
	s.removed[id] = max(s.removed[id], revision)
	if e := s.entries[id]; e == nil || e.Revision > revision {
		return false
	}
	delete(s.entries, id)
	return true
}

// ApplyList takes a complete list of the store. Upstreams that it lacks are removed
// by Sweep when they stay away. It tells whether anything changed.
func (s *Set) ApplyList(list []Entry, revision uint64, now time.Time) bool {
	changed := false
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		if s.Put(e.Replica, e.Revision) {
			changed = true
		}
	}
	for id := range s.entries {
		if !seen[id] {
			s.MarkMissing(id, revision, now)
		}
	}
	return changed
}

// MarkMissing notes that the registration of an upstream lapsed at a time when it may
// come back.
func (s *Set) MarkMissing(id string, revision uint64, now time.Time) {
	if e := s.entries[id]; e != nil && e.Revision <= revision && e.missingSince.IsZero() {
		e.missingSince = now
		s.Revision = max(s.Revision, revision)
	}
}

// Merge takes the set of a peer, whose newest change has the given revision. An
// upstream that only this set knows is removed when the peer's set is newer and
// has no registration of that age or later.
func (s *Set) Merge(list []Entry, revision uint64, now time.Time) bool {
	newer := revision > s.Revision
	changed := false
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		changed = s.Put(e.Replica, e.Revision) || changed
		if own := s.entries[e.ID]; e.MissingFor > 0 && own != nil && own.Revision == e.Revision && own.missingSince.IsZero() {
			own.missingSince = now.Add(-e.MissingFor)
		}
	}
	for id, e := range s.entries {
		if newer && !seen[id] && e.Revision <= revision {
			changed = s.Remove(id, revision) || changed
		}
	}
	s.Revision = max(s.Revision, revision)
	return changed
}

// Sweep removes the upstreams that were missing for ReturnTime and returns
// their IDs.
func (s *Set) Sweep(now time.Time) []string {
	var lapsed []string
	for id, e := range s.entries {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) >= MissingGrace {
			delete(s.entries, id)
			lapsed = append(lapsed, id)
		}
	}
	sort.Strings(lapsed)
	return lapsed
}

// Len returns the number of upstreams.
func (s *Set) Len() int { return len(s.entries) }

// All returns the upstreams, sorted by ID.
func (s *Set) All(now time.Time) []Entry {
	all := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out := *e
		if !e.missingSince.IsZero() {
			out.MissingFor = max(now.Sub(e.missingSince), 1)
		}
		all = append(all, out)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
