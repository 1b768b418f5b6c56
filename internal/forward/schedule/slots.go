package schedule

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// sharedSlots is the number of free slots of an upstream from which any entry may
// use it. With fewer free, an entry uses only the slots assigned to it: peer state
// is a fraction of a second old, so several entries would take the last slots at
// once, and their requests would queue at the upstream in the order of arrival.
const sharedSlots = 3

// minCellUpstreams is the least number of upstreams of a service in a cell; with
// fewer, every cell uses all upstreams.
const minCellUpstreams = 2

// assignServices sets the upstreams of each service and divides their slots.
func (s *Scheduler) assignServices(now time.Time) {
	s.groupUpstreams(now)
	s.assignedTo = ""
	s.aggregatePeers(now)
}

// groupUpstreams sets the upstreams of each service.
func (s *Scheduler) groupUpstreams(now time.Time) {
	for _, v := range s.services {
		v.upstreams = v.upstreams[:0]
	}
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		u := s.byID[id]
		v := s.service(u.Service)
		v.upstreams = append(v.upstreams, u)
		u.brittleAt = v.brittleAt
	}
	for _, v := range s.services {
		s.markHomes(v.upstreams)
		s.markShares(v, v.upstreams)
		v.all = append(v.all[:0], v.upstreams...)
		own := s.cellUpstreams(v.upstreams)
		v.upstreams = append(own[:len(own):len(own)], s.heldElsewhere(v.upstreams, own, now)...)
	}
}

// cellUpstreams returns the upstreams of a service that this entry uses: its cell's
// share of those in its data centre, or of those elsewhere while that one is evacuated.
func (s *Scheduler) cellUpstreams(all []*upstream) []*upstream {
	if s.Cells == 0 {
		return all
	}
	var local, remote []*upstream
	evacuated := false
	for _, u := range all {
		switch {
		case u.local:
			local = append(local, u)
			evacuated = evacuated || u.Evacuated
		case !u.Draining:
			remote = append(remote, u)
		}
	}
	if evacuated {
		local = remote
	}
	if own := s.cellShare(local); usable(own) >= minCellUpstreams {
		return own
	}
	return all
}

// cellShare returns this cell's share of the upstreams in a list, nil if there are too few
// for all cells.
func (s *Scheduler) cellShare(list []*upstream) []*upstream {
	if len(list) < minCellUpstreams*s.Cells {
		return nil
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	var own []*upstream
	for i, u := range list {
		if i%s.Cells == s.Cell {
			own = append(own, u)
		}
	}
	return own
}

// usable counts the upstreams that do not drain.
func usable(list []*upstream) int {
	n := 0
	for _, u := range list {
		if !u.Draining {
			n++
		}
	}
	return n
}

// assignSlots assigns each slot of a service's upstreams to one of the live entries,
// round robin. All entries compute the same result from the same names.
func (s *Scheduler) assignSlots() {
	sort.Strings(s.entries)
	names := strings.Join(s.entries, " ")
	if names == s.assignedTo {
		return
	}
	s.assignedTo = names
	self := sort.SearchStrings(s.entries, s.Name)
	for _, v := range s.services {
		sort.Slice(v.upstreams, func(i, k int) bool { return v.upstreams[i].ID < v.upstreams[k].ID })
		slot := 0
		for _, u := range v.upstreams {
			u.assigned = 0
			if u.held {
				continue // the other entries of the cell don't have it
			}
			u.assigned = turns(slot+u.slots(), self, len(s.entries)) - turns(slot, self, len(s.entries))
			slot += u.slots()
			u.setTries(slot%len(s.entries) == self)
		}
	}
}

// turns returns how many of the first slots are the turn of entry self of n.
func turns(slots, self, n int) int { return (slots + n - 1 - self) / n }

// hasSlot reports whether this entry may send to u: u takes requests, and has at least
// sharedSlots free slots, a free slot that is assigned to this entry, or a reserved one.
// The limit of an upstream, which one or few entries hold, replaces the rule for the last
// slots. Of a brittle upstream it uses its own slots alone.
func (u *upstream) hasSlot(now time.Time) bool {
	n := u.room(now)
	if u.Draining || !u.said.takesMore(now) || n < 1 || u.barred(now) {
		return false
	}
	if u.paced(now) {
		return u.limitAllows(now)
	}
	if u.brittle(now) {
		return u.reserved || u.ownSlot()
	}
	return n >= min(sharedSlots, u.slots()) || u.ownLoad+u.loaned < u.assigned || u.reserved || u.trialOpen(now)
}

// grantFree grants free slots of this entry to a peer whose waiting requests precede
// its own.
func (s *Scheduler) grantFree(name string, now time.Time) []Action {
	p := s.peers[name]
	if p == nil {
		return nil
	}
	var out []Action
	for _, service := range p.services() {
		if v := s.services[service]; v != nil {
			out = append(out, s.grantLimits(v, now)...)
		}
	}
	for i := range p.state.Demand {
		d := &p.state.Demand[i]
		v := s.services[d.Service]
		if v == nil || len(v.queue) > 0 && !s.demandPrecedes(d, v, v.queue[0], 0, now) {
			continue
		}
		for _, u := range v.upstreams {
			for d.Count > 0 && s.Options.InHomes(d.Homes, u.DataCentre) && !u.paced(now) && u.grantable(now) {
				d.Count--
				out = append(out, s.grant(u, name, now))
			}
		}
	}
	return out
}

// grantable reports whether u has a free slot that only this entry may use. A peer of this
// cell can't use an upstream of another one.
func (u *upstream) grantable(now time.Time) bool {
	n := u.room(now)
	if u.Draining || u.said.wantsNone(now) || n < 1 || u.barred(now) {
		return false
	}
	last := n < sharedSlots && (u.ownLoad+u.loaned < u.assigned || u.trialOpen(now))
	if u.brittle(now) {
		last = u.ownSlot()
	}
	if u.paced(now) {
		last = !u.held && u.limitAllows(now)
	}
	return last && now.After(u.backoffUntil) && u.failedAttempts == 0 && !u.unresponsive(now)
}
