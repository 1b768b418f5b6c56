// Package evacuation provides the set of data centres that an operator has evacuated: no
// request is sent to their upstreams until the evacuation ends.
//
// # Usage
//
//	var s evacuation.Set
//	s.ApplyList(list, 530, now)         // a complete list of the store
//	s.Apply(changes, now)               // changes of a watch, or the set of a peer
//	s.Sweep(now)
//	if s.Active("cape-town-1") { ... }
//
// For each data centre the change with the highest revision of the store counts, whatever
// the order in which changes arrive. Entries with the same changes have the same set.
package evacuation

import (
	"slices"
	"strings"
	"time"

	"agateward/ward"
)

// rewriteGrace is how long an evacuation is kept that a store does not list since it has
// returned from an older copy. Operators write their keys again.
const rewriteGrace = 5 * time.Second

// maxDataCentres bounds the data centres of which a change is kept.
const maxDataCentres = 1024

// Set is the set of evacuations. Its zero value is empty.
type Set struct {
	known map[string]*change
}

// change is the newest change of one data centre.
type change struct {
	ward.Evacuation
	// missing is the first list of a later era that lacks the evacuation, read at
	// missingSince; 0 for none.
	missing      uint64
	missingSince time.Time
}

// Apply applies changes and returns those that begin or end an evacuation.
func (s *Set) Apply(list []ward.Evacuation) []ward.Evacuation {
	var news []ward.Evacuation
	for _, e := range list {
		if s.put(e) {
			news = append(news, e)
		}
	}
	return news
}

// put applies one change and reports whether it begins or ends an evacuation.
func (s *Set) put(e ward.Evacuation) bool {
	if s.known == nil {
		s.known = make(map[string]*change)
	}
	c := s.known[e.DataCentre]
	if c == nil && len(s.known) >= maxDataCentres || c != nil && c.Revision >= e.Revision {
		return false
	}
	before := c != nil && !c.Ended
	s.known[e.DataCentre] = &change{Evacuation: e}
	return before == e.Ended
}

// ApplyList applies a complete list of the store at a revision. It ends the evacuations
// that the list lacks: at once, or after some seconds if the store has returned from an
// older copy since they began. It returns the changes that begin or end an evacuation.
func (s *Set) ApplyList(list []ward.Evacuation, revision uint64, now time.Time) []ward.Evacuation {
	news := s.Apply(list)
	for name, c := range s.known {
		listed := slices.ContainsFunc(list, func(e ward.Evacuation) bool { return e.DataCentre == name })
		switch {
		case c.Ended || listed || c.Revision > revision:
		case !ward.LaterEra(revision, c.Revision):
			news = append(news, s.end(name, revision))
		case c.missing == 0:
			c.missing, c.missingSince = revision, now
		}
	}
	return sorted(news)
}

// end ends an evacuation at a revision.
func (s *Set) end(name string, revision uint64) ward.Evacuation {
	e := ward.Evacuation{DataCentre: name, Revision: revision, Ended: true}
	s.put(e)
	return e
}

// Sweep ends the evacuations that were not written again to a store that has returned from
// an older copy, and returns them.
func (s *Set) Sweep(now time.Time) []ward.Evacuation {
	var news []ward.Evacuation
	for name, c := range s.known {
		if c.missing > 0 && now.Sub(c.missingSince) >= rewriteGrace {
			news = append(news, s.end(name, c.missing))
		}
	}
	return sorted(news)
}

// Active reports whether a data centre is evacuated.
func (s *Set) Active(dataCentre string) bool {
	c := s.known[dataCentre]
	return c != nil && !c.Ended
}

// Count returns the number of evacuated data centres.
func (s *Set) Count() int {
	n := 0
	for _, c := range s.known {
		if !c.Ended {
			n++
		}
	}
	return n
}

// Newest returns the newest revision of a change, 0 if there was none.
func (s *Set) Newest() uint64 {
	newest := uint64(0)
	for _, c := range s.known {
		newest = max(newest, c.Revision)
	}
	return newest
}

// All returns the newest change of each data centre, sorted by name, ended ones included.
func (s *Set) All() []ward.Evacuation {
	list := make([]ward.Evacuation, 0, len(s.known))
	for _, c := range s.known {
		list = append(list, c.Evacuation)
	}
	return sorted(list)
}

func sorted(list []ward.Evacuation) []ward.Evacuation {
	slices.SortFunc(list, func(a, b ward.Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return list
}
