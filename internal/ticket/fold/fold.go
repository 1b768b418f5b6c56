// Package fold applies a ticket to the configuration and lists the changes.
//
// The configuration is the whole state that accepted tickets have put in force.
// Each object carries the number of the ticket that set it. A ticket is refused
// unless its number is above the one in force for every object that it changes,
// so that nothing accepted reverts. A removed object leaves a tombstone with the
// number. Tombstones are bounded: the oldest ones are replaced by
// Config.NumberFloor, at or below which no new object is accepted.
//
// # Usage
//
//	next, err := fold.Fold(current, ticket, attempt, now)
//	for _, line := range fold.Diff(current, next) {
//		fmt.Println(line)
//	}
//
// Fold does not validate the objects; package document does.
package fold

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

const (
	// MaxConfigBytes bounds the configuration as JSON. A value in the store has at
	// most one megabyte.
	MaxConfigBytes = 900_000
	// MaxTombstones bounds the list of removed objects.
	MaxTombstones = 1000
	// MaxRecent bounds the index of accepted tickets.
	MaxRecent = 128
)

// Kinds of object in a tombstone.
const (
	kindUpstream = "upstream"
	kindRoute    = "route"
	kindTeam     = "team"
	kindMove     = "move"
)

// meta holds the fields that all objects share.
type meta struct {
	name    string
	ticket  *uint64
	removed bool
}

func upstreamMeta(u *ward.Upstream) meta { return meta{u.Name, &u.Ticket, u.Removed} }
func routeMeta(r *ward.Route) meta       { return meta{r.Name, &r.Ticket, r.Removed} }
func teamMeta(t *ward.Team) meta         { return meta{t.Name, &t.Ticket, t.Removed} }
func moveMeta(m *ward.Move) meta         { return meta{m.Name, &m.Ticket, m.Removed} }

// Fold returns the configuration that results when t is accepted at now by the
// submission attempt. It does not change c.
func Fold(c ward.Config, t ward.Ticket, attempt string, now time.Time) (ward.Config, error) {
	s := mergeState{number: t.Number, tombstones: slices.Clone(c.Tombstones), floor: c.NumberFloor}
	next := c
	next.Upstreams = merge(&s, kindUpstream, c.Upstreams, t.Upstreams, upstreamMeta)
	next.Routes = merge(&s, kindRoute, c.Routes, t.Routes, routeMeta)
	next.Teams = merge(&s, kindTeam, c.Teams, t.Teams, teamMeta)
	next.Moves = merge(&s, kindMove, c.Moves, t.Moves, moveMeta)
	if len(s.tooLow) > 0 {
		return c, code.NumberTooLow.New("number %d is not above the number in force for %s", t.Number, strings.Join(s.tooLow, ", "))
	}
	next.Tombstones, next.NumberFloor = s.prune()
	next.Revision = c.Revision + 1
	next.Ticket = t.Number
	next.Attempt = attempt
	next.Accepted = now
	next.Recent = prependRecent(c.Recent, ward.AcceptedTicket{
		Number: t.Number, Revision: next.Revision, Attempt: attempt, Accepted: now, Operator: t.Operator,
	})
	b, err := json.Marshal(next)
	if err != nil {
		return c, code.Internal.Wrap(err, "encode the configuration")
	}
	if len(b) > MaxConfigBytes {
		return c, code.ConfigTooLarge.New("the configuration would take %d bytes of at most %d", len(b), MaxConfigBytes)
	}
	return next, nil
}

func prependRecent(have []ward.AcceptedTicket, a ward.AcceptedTicket) []ward.AcceptedTicket {
	list := append([]ward.AcceptedTicket{a}, have...)
	return list[:min(len(list), MaxRecent)]
}

// mergeState is the state that the merges of the four lists share.
type mergeState struct {
	number     uint64
	floor      uint64
	tombstones []ward.Tombstone
	tooLow     []string
}

// inForce returns the number that a ticket must be above to set an object that
// is not in the configuration, and drops its tombstone.
func (s *mergeState) inForce(kind, name string) uint64 {
	i := slices.IndexFunc(s.tombstones, func(t ward.Tombstone) bool { return t.Kind == kind && t.Name == name })
	if i < 0 {
		return s.floor
	}
	n := s.tombstones[i].Ticket
	s.tombstones = slices.Delete(s.tombstones, i, i+1)
	return max(n, s.floor)
}

// prune drops the tombstones with the lowest numbers beyond MaxTombstones and
// raises the floor to the highest number dropped.
func (s *mergeState) prune() ([]ward.Tombstone, uint64) {
	slices.SortStableFunc(s.tombstones, func(a, b ward.Tombstone) int {
		switch {
		case a.Ticket > b.Ticket:
			return -1
		case a.Ticket < b.Ticket:
			return 1
		}
		return strings.Compare(a.Kind+a.Name, b.Kind+b.Name)
	})
	if len(s.tombstones) > MaxTombstones {
		s.floor = max(s.floor, s.tombstones[MaxTombstones].Ticket)
		s.tombstones = s.tombstones[:MaxTombstones]
	}
	return s.tombstones, s.floor
}

// merge returns current with changes applied, sorted by name.
func merge[T any](s *mergeState, kind string, current, changes []T, metaOf func(*T) meta) []T {
	list := slices.Clone(current)
	for _, x := range changes {
		m := metaOf(&x)
		i := slices.IndexFunc(list, func(y T) bool { return metaOf(&y).name == m.name })
		var inForce uint64
		if i >= 0 {
			inForce = *metaOf(&list[i]).ticket
		} else {
			inForce = s.inForce(kind, m.name)
		}
		if s.number <= inForce {
			s.tooLow = append(s.tooLow, kind+" "+m.name)
			continue
		}
		*m.ticket = s.number
		switch {
		case m.removed:
			if i >= 0 {
				list = slices.Delete(list, i, i+1)
			}
			s.tombstones = append(s.tombstones, ward.Tombstone{Kind: kind, Name: m.name, Ticket: s.number})
		case i >= 0:
			list[i] = x
		default:
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(metaOf(&a).name, metaOf(&b).name) })
	return list
}
