package schedule

import (
	"sort"
	"strings"
	"time"
)

// spareSlots is the number of free slots from which any entry may use an upstream.
// News is a fraction of a second old: the last free slots would be taken by several
// entries at once, and their requests would wait at the upstream in the order of
// arrival. So each of these is the home slot of one entry.
const spareSlots = 3

// leastOfCell is the number of upstreams of a service that a cell has at least;
// with fewer all cells use all.
const leastOfCell = 2

// ofCell returns the upstreams of a service that this entry uses: its cell's part
// of those in its data centre.
func (s *Scheduler) ofCell(all []*upstream) []*upstream {
	if s.Cells == 0 {
		return all
	}
	var near []*upstream
	for _, u := range all {
		if u.near {
			near = append(near, u)
		}
	}
	if len(near) < leastOfCell*s.Cells {
		return all
	}
	sort.Slice(near, func(i, k int) bool { return near[i].ID < near[k].ID })
	var mine []*upstream
	usable := 0
	for i, u := range near {
		if i%s.Cells != s.Cell {
			continue
		}
		mine = append(mine, u)
		if !u.Draining {
			usable++
		}
	}
	if usable < leastOfCell {
		return all
	}
	return mine
}

// deal gives each slot to one of the entries that are heard, in turn over all
// upstreams of a service. All entries come to the same result from the same names.
func (s *Scheduler) deal() {
	sort.Strings(s.entries)
	homes := strings.Join(s.entries, " ")
	if homes == s.homes {
		return
	}
	s.homes = homes
	self := sort.SearchStrings(s.entries, s.Name)
	for _, v := range s.services {
		sort.Slice(v.upstreams, func(i, k int) bool { return v.upstreams[i].ID < v.upstreams[k].ID })
		slot := 0
		for _, u := range v.upstreams {
			u.home = 0
			for range u.Slots {
				if slot%len(s.entries) == self {
					u.home++
				}
				slot++
			}
		}
	}
}

// free tells whether this entry may send to u: it has slots to spare, or a free
// home slot of this entry, or one that a peer gave away.
func (u *upstream) free() bool {
	n := u.Slots - u.load()
	if u.Draining || n < 1 {
		return false
	}
	return n >= min(spareSlots, u.Slots) || u.own < u.home || u.granted
}

// lend gives home slots that are free to a peer whose requests wait, when those
// go before the own ones.
func (s *Scheduler) lend(name string, now time.Time) []Action {
	p := s.peers[name]
	if p == nil {
		return nil
	}
	var out []Action
	for i := range p.news.Demand {
		d := &p.news.Demand[i]
		v := s.services[d.Service]
		if v == nil || len(v.queue) > 0 && !goesBefore(d, v.queue[0], 0, now) {
			continue
		}
		for _, u := range v.upstreams {
			for d.Count > 0 && u.lendable(now) {
				d.Count--
				out = append(out, s.give(u, name, now))
			}
		}
	}
	return out
}

// lendable tells whether u has a free home slot that only this entry may use.
func (u *upstream) lendable(now time.Time) bool {
	n := u.Slots - u.load()
	return !u.Draining && n >= 1 && n < spareSlots && u.own < u.home && now.After(u.closedUntil) && u.unreached == 0 && !u.silent(now)
}
