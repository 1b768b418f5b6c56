package peers

import (
	"sort"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/ward"
)

const (
	// wholeFleet is the number of entries up to which all hear each other.
	wholeFleet = 12
	// cellSize is the largest number of entries of a cell. What an entry spends on
	// news grows with its cell and not with the fleet.
	cellSize = 12
)

// Cell is the part of a fleet within which entries exchange news: entries of one
// data centre, which share a part of its upstreams.
type Cell struct {
	// Index and Count tell the cell among those of its data centre. Count 0 means
	// that the whole fleet is one cell.
	Index, Count int
	// Members are the entries of the cell, this one too.
	Members []ward.ForwardEntry
	// Fleet is the number of all entries, Place that of this one among them by
	// name, from 0.
	Fleet, Place int
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
	c := Cell{Fleet: len(list)}
	for _, e := range list {
		if e.Name < self.Name {
			c.Place++
		}
	}
	if len(list) <= wholeFleet {
		c.Members = list
		return c
	}
	var near []ward.ForwardEntry
	for _, e := range list {
		if e.DataCentre == self.DataCentre {
			near = append(near, e)
		}
	}
	sort.Slice(near, func(i, k int) bool { return near[i].Name < near[k].Name })
	c.Count = (len(near) + cellSize - 1) / cellSize
	for i, e := range near {
		if e.Name == self.Name {
			c.Index = i % c.Count
		}
	}
	for i, e := range near {
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
		clear(s.hints)
	}
}

// readers is the number of entries of a cell that follow the store while it
// answers them.
const readers = 2

// lagMost is how long a version that a peer knows may be missing here before this
// entry reads the store itself: a fetch from a peer takes a tenth of it, and the
// store's answer then comes well before a version has to be in force.
const lagMost = 500 * time.Millisecond

// lag is a version of the documents that a peer knows and this entry does not.
type lag struct {
	wanted ward.DocumentVersions
	since  time.Time
}

// Compare notes whether the versions that this entry has are behind those of a
// message.
func (s *Set) Compare(m peerstate.Message, own ward.DocumentVersions, now time.Time) {
	if !own.OlderThan(s.lag.wanted) {
		s.lag = lag{}
	}
	if s.lag.since.IsZero() && own.OlderThan(m.Documents) {
		s.lag = lag{wanted: m.Documents, since: now}
	}
}

// Reads tells whether this entry follows the store itself: in a fleet of one cell
// always, else when it is one of the first of those that the store answered within
// fresh, or when peers know versions that it does not get from them.
func (s *Set) Reads(now time.Time, fresh time.Duration) bool {
	if s.cell == nil || !s.lag.since.IsZero() && now.Sub(s.lag.since) > lagMost {
		return true
	}
	before := 0
	for name, p := range s.peers {
		if p.Requests.Leaving || now.Sub(p.Heard) > silence || name > s.Self {
			continue
		}
		if now.Sub(p.Heard)+time.Duration(p.StoreAge)*time.Millisecond < fresh {
			before++
		}
	}
	return before < readers
}

// Member tells whether an entry belongs to the cell of this one.
func (s *Set) Member(name string) bool { return s.cell == nil || s.cell[name] }
