// Package split computes how each route's traffic is divided between versions,
// from the configuration, the states of its moves and the quarantines.
//
// # Usage
//
//	fleet := split.Fleet{Entries: 8, Index: 3}
//	scheduler.SetSplits(now, split.Splits(&cfg, states, quarantines, fleet))
//
// A move that is done keeps its route on the new version until a ticket with a
// higher number sets the route's version.
package split

import (
	"cmp"
	"slices"

	"agateward/internal/move/quarantine"
	"agateward/ward"
)

// CanaryInFlight bounds the requests that run on an unproven version, summed
// over the fleet.
const CanaryInFlight = 16

// States of the move chart that a split depends on.
const (
	// Canary is the state of a move whose version is not proven.
	Canary = "canary"
	// Done is the state of a move that has ended on the new version.
	Done = "done"
	// RolledBack is the state of a move that has ended on the old version.
	RolledBack = "taken-back"
)

// Fleet is the number of live entries and the index of this one among them,
// sorted by name, from 0. The zero value stands for a single entry.
type Fleet struct {
	Entries int
	Index   int
}

// Splits returns the split of each route of c, in the order of the routes.
func Splits(c *ward.Config, states []ward.MoveState, quarantines []ward.Quarantine, fleet Fleet) []ward.Split {
	moves := slices.Clone(c.Moves)
	slices.SortFunc(moves, func(a, b ward.Move) int { return cmp.Compare(a.Ticket, b.Ticket) })
	list := make([]ward.Split, 0, len(c.Routes))
	for _, r := range c.Routes {
		s := ward.Split{Route: r.Name, Version: r.Version}
		for _, m := range moves {
			if quarantine.Covers(m, r) {
				applyMove(&s, r, m, StateOf(m, states), fleet)
			}
		}
		s.Quarantined = quarantinedVersions(c, quarantines, r)
		if slices.Contains(s.Quarantined, s.Next) {
			s.Next = ""
			s.Share = 0
			s.MaxInFlight = 0
		}
		list = append(list, s)
	}
	return list
}

// WithoutNext returns the splits with no traffic for any next version. An entry
// uses them after it was paused, since it may have missed a quarantine.
func WithoutNext(list []ward.Split) []ward.Split {
	result := slices.Clone(list)
	for i := range result {
		result[i].Next = ""
		result[i].Share = 0
		result[i].MaxInFlight = 0
	}
	return result
}

// StateOf returns the state of the run of m that its ticket put in force, and
// the zero value when there is none yet.
func StateOf(m ward.Move, states []ward.MoveState) ward.MoveState {
	var found ward.MoveState
	for _, s := range states {
		current := s.Ticket == m.Ticket || m.Cancelled && s.Ticket < m.Ticket
		if s.Move == m.Name && current && s.Revision >= found.Revision {
			found = s
		}
	}
	return found
}

// applyMove updates the split of a route for a move that covers it.
func applyMove(s *ward.Split, r ward.Route, m ward.Move, state ward.MoveState, fleet Fleet) {
	switch {
	case s.Version != m.From || state.State == RolledBack || state.State == "":
	case state.State == Done:
		if m.Ticket > r.Ticket {
			s.Version = m.To
		}
	default:
		s.Move = m.Name
		s.Next = m.To
		s.Share = state.Share
		if state.State == Canary {
			limitCanary(s, fleet)
		}
	}
}

// limitCanary divides CanaryInFlight over the entries. If there are more entries
// than requests, only the first ones send any, at a higher share, so that the
// share of the whole fleet stays the same.
func limitCanary(s *ward.Split, fleet Fleet) {
	entries := max(fleet.Entries, 1)
	senders := min(entries, CanaryInFlight)
	if fleet.Index >= senders {
		s.Share = 0
		return
	}
	s.Share = min(1, s.Share*float64(entries)/float64(senders))
	s.MaxInFlight = CanaryInFlight / senders
}

// quarantinedVersions returns the versions that are quarantined on a route,
// sorted.
func quarantinedVersions(c *ward.Config, quarantines []ward.Quarantine, r ward.Route) []string {
	var versions []string
	for _, q := range quarantines {
		if quarantine.InForce([]ward.Quarantine{q}, c, r, q.Version) && !slices.Contains(versions, q.Version) {
			versions = append(versions, q.Version)
		}
	}
	slices.Sort(versions)
	return versions
}
