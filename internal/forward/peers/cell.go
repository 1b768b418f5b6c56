package peers

import (
	"sort"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/ward"
)

const (
	// maxUndividedFleet is the number of entries up to which all hear each other.
	maxUndividedFleet = 12
	// maxCellSize is the largest number of entries of a cell. What an entry spends on
	// news grows with its cell and not with the fleet.
	maxCellSize = 12
)

// Cell is the part of a fleet within which entries exchange news: entries of one
// data centre, which share a part of its upstreams.
type Cell struct {
	// Index and Count tell the cell among those of its data centre. Count 0 means
	// that the whole fleet is one cell.
	Index, Count int
	// Members are the entries of the cell, this one too.
	Members []ward.ForwardEntry
	// FleetSize is the number of all entries, FleetIndex that of this one among them by
	// name, from 0.
	FleetSize, FleetIndex int
}

// CellOf returns the cell of an entry. All entries come to the same cells from the
// same list.
func CellOf(all []ward.ForwardEntry, self ward.ForwardEntry) Cell {
	list := []ward.ForwardEntry{self}
	for _, e := range all {
		if e.Name != self.Name {
			list = append(list, e)
		}
	}
	c := Cell{FleetSize: len(list)}
	for _, e := range list {
		if e.Name < self.Name {
			c.FleetIndex++
		}
	}
	if len(list) <= maxUndividedFleet {
		c.Members = list
		return c
	}
	var local []ward.ForwardEntry
	for _, e := range list {
		if e.DataCentre == self.DataCentre {
			local = append(local, e)
		}
	}
	sort.Slice(local, func(i, k int) bool { return local[i].Name < local[k].Name })
	c.Count = (len(local) + maxCellSize - 1) / maxCellSize
	for i, e := range local {
		if e.Name == self.Name {
			c.Index = i % c.Count
		}
	}
	for i, e := range local {
		if i%c.Count == c.Index {
			c.Members = append(c.Members, e)
		}
	}
	return c
}

// SetCell restricts the set to the members of a cell.
func (s *Set) SetCell(c Cell) {
	s.init()
	s.cell = nil
	if c.Count > 0 {
		s.cell = make(map[string]bool, len(c.Members))
	}
	for _, e := range c.Members {
		if s.cell != nil {
			s.cell[e.Name] = true
		}
	}
	for name := range s.peers {
		if s.cell != nil && !s.cell[name] {
			delete(s.peers, name)
		}
	}
	if s.cell != nil {
		clear(s.candidates)
	}
}

// storeReaders is the number of entries of a cell that follow the store while it
// answers them.
const storeReaders = 2

// maxLag is how long a version that a peer knows may be missing here before this
// entry reads the store itself: a fetch from a peer takes a tenth of it, and the
// store's answer then comes well before a version has to be in force.
const maxLag = 500 * time.Millisecond

// lag is a version of the documents that a peer knows and this entry does not.
type lag struct {
	wanted ward.DocumentVersions
	since  time.Time
}

// TrackLag notes whether the versions that this entry has are behind those of a
// message.
func (s *Set) TrackLag(m peerstate.Message, own ward.DocumentVersions, now time.Time) {
	if !own.OlderThan(s.lag.wanted) {
		s.lag = lag{}
	}
	if s.lag.since.IsZero() && own.OlderThan(m.Documents) {
		s.lag = lag{wanted: m.Documents, since: now}
	}
}

// FollowsStore tells whether this entry follows the store itself: in a fleet of one cell
// always, else when it is one of the first of those that the store answered within
// fresh, or when peers know versions that it does not get from them.
func (s *Set) FollowsStore(now time.Time, fresh time.Duration) bool {
	if s.cell == nil || !s.lag.since.IsZero() && now.Sub(s.lag.since) > maxLag {
		return true
	}
	before := 0
	for name, p := range s.peers {
		if p.Requests.Leaving || now.Sub(p.LastHeard) > aliveTimeout || name > s.Self {
			continue
		}
		if now.Sub(p.LastHeard)+time.Duration(p.StoreAge)*time.Millisecond < fresh {
			before++
		}
	}
	return before < storeReaders
}

// IsMember tells whether an entry belongs to the cell of this one.
func (s *Set) IsMember(name string) bool { return s.cell == nil || s.cell[name] }
