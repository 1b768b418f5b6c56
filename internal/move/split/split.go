// Package split turns the configuration, the states of its moves and the
// quarantines into the division of each route's traffic between versions.
//
// # Usage
//
//	fleet := split.Fleet{Entries: 8, Index: 3}
//	for _, s := range split.Splits(&cfg, states, brakes, fleet) {
//		scheduler.SetSplit(s)
//	}
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

// Fleet is the number of live entries and the place of this one among them,
// sorted by name, from 0. The zero value stands for a single entry.
type Fleet struct {
	Entries int
	Index   int
}

// Splits returns the split of each route of c, in the order of the routes.
func Splits(c *ward.Config, states []ward.MoveState, brakes []ward.Quarantine, fleet Fleet) []ward.Split {
	moves := slices.Clone(c.Moves)
	slices.SortFunc(moves, func(a, b ward.Move) int { return cmp.Compare(a.Ticket, b.Ticket) })
	list := make([]ward.Split, 0, len(c.Routes))
	for _, r := range c.Routes {
		s := ward.Split{Route: r.Name, Version: r.Version}
		for _, m := range moves {
			if quarantine.Covers(m, r) {
				apply(&s, r, m, StateOf(m, states), fleet)
			}
		}
		s.Quarantined = braked(c, brakes, r)
		if slices.Contains(s.Quarantined, s.Next) {
			s.Next = ""
			s.Share = 0
			s.MaxInFlight = 0
		}
		list = append(list, s)
	}
	return list
}

// WithoutNext returns the splits with nothing for any next version. An entry uses them
// when it was paused and may not have heard of a stop.
func WithoutNext(list []ward.Split) []ward.Split {
	held := slices.Clone(list)
	for i := range held {
		held[i].Next = ""
		held[i].Share = 0
		held[i].MaxInFlight = 0
	}
	return held
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

func apply(s *ward.Split, r ward.Route, m ward.Move, state ward.MoveState, fleet Fleet) {
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
			canary(s, fleet)
		}
	}
}

// canary divides the bound of requests in flight over the fleet. When there are
// more entries than requests, only the first ones send any, at a share that
// keeps that of the whole fleet.
func canary(s *ward.Split, fleet Fleet) {
	entries := max(fleet.Entries, 1)
	senders := min(entries, CanaryInFlight)
	if fleet.Index >= senders {
		s.Share = 0
		return
	}
	s.Share = min(1, s.Share*float64(entries)/float64(senders))
	s.MaxInFlight = CanaryInFlight / senders
}

// braked lists the versions that are in quarantine on a route.
func braked(c *ward.Config, brakes []ward.Quarantine, r ward.Route) []string {
	var versions []string
	for _, b := range brakes {
		if quarantine.InForce([]ward.Quarantine{b}, c, r, b.Version) && !slices.Contains(versions, b.Version) {
			versions = append(versions, b.Version)
		}
	}
	slices.Sort(versions)
	return versions
}
