package peers

import (
	"maps"
	"slices"
	"sort"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/ward"
)

const (
	// maxUndividedFleet is the number of entries up to which a fleet is not divided
	// into cells.
	maxUndividedFleet = 12
	// maxCellSize bounds the number of entries of a cell, and so what an entry
	// spends on messages, however large the fleet is.
	maxCellSize = 12
)

// Cell is the part of a fleet within which entries exchange state: entries of one
// data centre, which share a part of its upstreams.
type Cell struct {
	// Index is the cell's number from 0 among the Count cells of its data centre.
	// Count 0 means that the whole fleet is one cell.
	Index, Count int
	// Members are the entries of the cell, including this one.
	Members []ward.ForwardEntry
	// Addresses are those of all other entries of the fleet, Names the sorted names of all.
	Addresses, Names []string
	// Local are the addresses of the other entries of the data centre.
	Local []string
	// DataCentres holds the data centre of each entry by its address.
	DataCentres map[string]string
	// FleetSize is the number of all entries, FleetIndex the index of this one
	// among them by name, from 0.
	FleetSize, FleetIndex int
	// Others are the other cells of the fleet, nil if the whole fleet is one cell.
	Others []OtherCell
}

// OtherCell is a cell of the fleet to which an entry does not belong.
type OtherCell struct {
	DataCentre string
	Members    []ward.ForwardEntry
}

// CellOf returns the cell of an entry. Entries with the same list compute the same
// cells.
func CellOf(all []ward.ForwardEntry, self ward.ForwardEntry) Cell {
	list := []ward.ForwardEntry{self}
	for _, e := range all {
		if e.Name != self.Name {
			list = append(list, e)
		}
	}
	c := Cell{FleetSize: len(list), DataCentres: make(map[string]string, len(list))}
	for _, e := range list[1:] {
		c.Addresses = append(c.Addresses, e.Listen)
		if e.DataCentre == self.DataCentre {
			c.Local = append(c.Local, e.Listen)
		}
	}
	for _, e := range list {
		c.DataCentres[e.Listen] = e.DataCentre
		c.Names = append(c.Names, e.Name)
		if e.Name < self.Name {
			c.FleetIndex++
		}
	}
	sort.Strings(c.Names)
	if len(list) <= maxUndividedFleet {
		c.Members = list
		return c
	}
	byDataCentre := make(map[string][]ward.ForwardEntry)
	for _, e := range list {
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
	}
	for _, name := range slices.Sorted(maps.Keys(byDataCentre)) {
		cells := divide(byDataCentre[name])
		for i, members := range cells {
			if slices.ContainsFunc(members, func(e ward.ForwardEntry) bool { return e.Name == self.Name }) {
				c.Index, c.Count, c.Members = i, len(cells), members
				continue
			}
			c.Others = append(c.Others, OtherCell{DataCentre: name, Members: members})
		}
	}
	return c
}

// divide divides the entries of a data centre into cells.
func divide(local []ward.ForwardEntry) [][]ward.ForwardEntry {
	sort.Slice(local, func(i, k int) bool { return local[i].Name < local[k].Name })
	cells := make([][]ward.ForwardEntry, (len(local)+maxCellSize-1)/maxCellSize)
	for i, e := range local {
		cells[i%len(cells)] = append(cells[i%len(cells)], e)
	}
	return cells
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
// answers them. When the store stops answering the reader, the others follow it within
// maxStoreAge, well before a change has to be in force.
const storeReaders = 1

// maxLag is how long this entry may lack a version that a peer has before it
// follows the store itself. A fetch from a peer takes a tenth of it, and the store
// then answers well before a version has to be in force.
const maxLag = 500 * time.Millisecond

// lag is a version of the documents that a peer has and this entry lacks.
type lag struct {
	wanted ward.DocumentVersions
	since  time.Time
}

// TrackLag records since when the versions of this entry are older than those of
// a message.
func (s *Set) TrackLag(m peerstate.Message, own ward.DocumentVersions, now time.Time) {
	if !own.OlderThan(s.lag.wanted) {
		s.lag = lag{}
	}
	if s.lag.since.IsZero() && own.OlderThan(m.Documents) {
		s.lag = lag{wanted: m.Documents, since: now}
	}
}

// FollowsStore reports whether this entry follows the store itself. In a fleet of
// one cell it always does. In others it does if the store answered fewer than
// storeReaders entries before it by name within maxAge, or if it has lacked a
// version of its peers for longer than maxLag.
func (s *Set) FollowsStore(now time.Time, maxAge time.Duration) bool {
	if s.cell == nil || !s.lag.since.IsZero() && now.Sub(s.lag.since) > maxLag {
		return true
	}
	answered := 0
	for name, p := range s.peers {
		if p.Requests.Leaving || now.Sub(p.LastHeard) > aliveTimeout || name > s.Self {
			continue
		}
		if now.Sub(p.LastHeard)+time.Duration(p.StoreAge)*time.Millisecond < maxAge {
			answered++
		}
	}
	return answered < storeReaders
}

// IsMember reports whether an entry belongs to the cell of this one.
func (s *Set) IsMember(name string) bool { return s.cell == nil || s.cell[name] }
