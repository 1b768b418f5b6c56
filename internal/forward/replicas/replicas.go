// Package replicas provides the set of registered upstreams. It merges the lists
// and changes of the platform's store with the sets of peers.
//
// # Usage
//
//	var s replicas.Set
//	s.ApplyList(list, 530, now)
//	s.Put(r, 531, now)
//	s.Remove(id, 532)
//	s.Sweep(now)
//	for _, r := range s.All(now) { ... }
//
// A registration that lapses while the store is unreachable returns soon after the
// store does. So an upstream that is missing from a list is removed only after
// MissingGrace.
package replicas

import (
	"sort"
	"time"

	"agateward/ward"
)

// MissingGrace is how long an upstream is kept after it is missing from a list: the
// platform states about two seconds for lapsed registrations to return.
const MissingGrace = 2 * time.Second

// returnGrace is how long an upstream that had left stays out after a store has
// returned from an older copy that still lists it. The store removes the registration
// of an upstream that is gone within three heartbeats.
const returnGrace = 5 * time.Second

// Entry is one registration with the revision that the store gave it.
type Entry struct {
	ward.Replica
	Revision uint64
	// MissingFor is how long the registration has been missing, 0 when it is
	// present. It is set by All.
	MissingFor time.Duration
	// missingSince is when the upstream was first missing from a list.
	missingSince time.Time
	// coldUntil is when the upstream is not cold any more, by its registration. All sets
	// ColdFor accordingly.
	coldUntil time.Time
}

// coldTolerance is by how much a registration may prolong the time in which its upstream is
// cold without counting as a change. The remaining time counts down, but registrations
// arrive with different delays.
const coldTolerance = 100 * time.Millisecond

// Set is the set of upstreams. Its zero value is empty.
type Set struct {
	// Revision is the newest store revision among the applied changes.
	Revision uint64
	entries  map[string]*Entry
	removed  map[string]uint64
	// returning holds the upstreams that had left and that an older copy of the store
	// lists, by ID.
	returning map[string]returning
}

// returning is a registration that is accepted at a given time.
type returning struct {
	entry Entry
	at    time.Time
}

// Put adds or changes an upstream, and reports whether anything changed. An older
// revision than the known one is ignored. The remaining time of a cold upstream counts from
// now, and the same revision does not prolong it.
func (s *Set) Put(r ward.Replica, revision uint64, now time.Time) bool {
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
	delete(s.returning, r.ID)
	if e != nil && e.Draining && e.Born == r.Born && ward.LaterEra(revision, e.Revision) {
		r.Draining = true // an older copy of the store may not have the news yet
	}
	s.Revision = max(s.Revision, revision)
	coldUntil := now.Add(r.ColdFor)
	r.ColdFor = 0
	if e != nil && e.Replica == r {
		changed := e.Revision < revision && coldUntil.After(now) && coldUntil.Sub(e.coldUntil) > coldTolerance
		if changed {
			e.coldUntil = coldUntil
		}
		e.Revision, e.missingSince = revision, time.Time{}
		return changed
	}
	s.entries[r.ID] = &Entry{Replica: r, Revision: revision, coldUntil: coldUntil}
	return true
}

// Remove removes an upstream, and reports whether it was known at an earlier or
// the same revision.
func (s *Set) Remove(id string, revision uint64) bool {
	if s.entries == nil {
		s.entries, s.removed = make(map[string]*Entry), make(map[string]uint64)
	}
	delete(s.returning, id)
	s.Revision = max(s.Revision, revision)
	s.removed[id] = max(s.removed[id], revision)
	if e := s.entries[id]; e == nil || e.Revision > revision {
		return false
	}
	delete(s.entries, id)
	return true
}

// ApplyList applies a complete list of the store, and reports whether anything
// changed. Upstreams that it lacks are marked as missing, and removed by Sweep
// unless they return.
func (s *Set) ApplyList(list []Entry, revision uint64, now time.Time) bool {
	changed := false
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		if left := s.removed[e.ID]; s.entries[e.ID] == nil && left > 0 && ward.LaterEra(e.Revision, left) {
			if s.returning == nil {
				s.returning = make(map[string]returning)
			}
			s.returning[e.ID] = returning{entry: e, at: now.Add(returnGrace)}
			continue
		}
		if s.Put(e.Replica, e.Revision, now) {
			changed = true
		}
	}
	for id := range s.returning {
		if !seen[id] {
			delete(s.returning, id)
		}
	}
	for id := range s.entries {
		if !seen[id] {
			s.MarkMissing(id, revision, now)
		}
	}
	return changed
}

// MarkMissing marks an upstream whose registration lapsed and may return.
func (s *Set) MarkMissing(id string, revision uint64, now time.Time) {
	if e := s.entries[id]; e != nil && e.Revision <= revision && e.missingSince.IsZero() {
		e.missingSince = now
		s.Revision = max(s.Revision, revision)
	}
}

// RemoveMissing removes the upstreams that a list of the given revision lacks, and reports
// whether there were any. It is for a list of a store that was not away.
func (s *Set) RemoveMissing(revision uint64) bool {
	changed := false
	for id, e := range s.entries {
		if !e.missingSince.IsZero() {
			changed = s.Remove(id, revision) || changed
		}
	}
	return changed
}

// Merge merges the set of a peer, whose newest change has the given revision, and
// reports whether anything changed. An upstream that only this set holds is
// removed if the peer's revision is newer than this set's and not older than the
// upstream's.
func (s *Set) Merge(list []Entry, revision uint64, now time.Time) bool {
	newer := revision > s.Revision
	changed := false
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		changed = s.Put(e.Replica, e.Revision, now) || changed
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

// Sweep removes the upstreams that were missing for MissingGrace, and accepts those
// that an older copy of the store has listed for long enough. It returns the IDs of
// both in order.
func (s *Set) Sweep(now time.Time) (lapsed, returned []string) {
	for id, e := range s.entries {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) >= MissingGrace {
			delete(s.entries, id)
			lapsed = append(lapsed, id)
		}
	}
	for id, r := range s.returning {
		if now.Before(r.at) {
			continue
		}
		s.Put(r.entry.Replica, r.entry.Revision, now)
		returned = append(returned, id)
	}
	sort.Strings(lapsed)
	sort.Strings(returned)
	return lapsed, returned
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
		out.ColdFor = max(e.coldUntil.Sub(now), 0)
		all = append(all, out)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
