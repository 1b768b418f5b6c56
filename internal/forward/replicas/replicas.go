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

// ReturnTime is how long after its absence from a list an upstream is kept: the
// platform states about two seconds for lapsed registrations to return.
const ReturnTime = 2 * time.Second

// Entry is one registration with the revision that the store gave it.
type Entry struct {
	ward.Replica
	Revision uint64
	// MissingFor is how long the registration has been missing, 0 when it is there.
	// All sets it.
	MissingFor time.Duration
	// missing is when a list first lacked the upstream.
	missing time.Time
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
		e.Revision, e.missing = revision, time.Time{}
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

// List takes a complete list of the store. Upstreams that it lacks are removed
// by Sweep when they stay away. It tells whether anything changed.
func (s *Set) List(list []Entry, revision uint64, now time.Time) bool {
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
			s.Miss(id, revision, now)
		}
	}
	return changed
}

// Miss notes that the registration of an upstream lapsed at a time when it may
// come back.
func (s *Set) Miss(id string, revision uint64, now time.Time) {
	if e := s.entries[id]; e != nil && e.Revision <= revision && e.missing.IsZero() {
		e.missing = now
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
		if mine := s.entries[e.ID]; e.MissingFor > 0 && mine != nil && mine.Revision == e.Revision && mine.missing.IsZero() {
			mine.missing = now.Add(-e.MissingFor)
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
	var gone []string
	for id, e := range s.entries {
		if !e.missing.IsZero() && now.Sub(e.missing) >= ReturnTime {
			delete(s.entries, id)
			gone = append(gone, id)
		}
	}
	sort.Strings(gone)
	return gone
}

// Len returns the number of upstreams.
func (s *Set) Len() int { return len(s.entries) }

// All returns the upstreams, sorted by ID.
func (s *Set) All(now time.Time) []Entry {
	all := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out := *e
		if !e.missing.IsZero() {
			out.MissingFor = max(now.Sub(e.missing), 1)
		}
		all = append(all, out)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
