package schedule

import (
	"cmp"
	"slices"
	"time"

	"agateward/internal/forward/limit"
	"agateward/ward"
)

// Identity identifies one process of an upstream.
type Identity struct {
	ID string `msgpack:"i"`
	// Born distinguishes two processes with the same ID, as in ward.Replica.
	Born int64 `msgpack:"b,omitempty"`
}

// IdentityOf returns the identity of a registered upstream.
func IdentityOf(r *ward.Replica) Identity { return Identity{ID: r.ID, Born: r.Born} }

// maxStatements bounds the processes whose statements are kept. It is several times
// the number of upstreams of a large fleet, so that one that left is remembered for
// longer than any list may be old.
const maxStatements = 4096

// maxDepartures bounds the upstreams that one message to the peers names as leaving, to
// some kilobytes.
const maxDepartures = 100

// statement is what a process of an upstream said of itself, or showed, in its answers. It is kept
// apart from the registrations, which may be older, be missing for a while or come
// back.
type statement struct {
	// leaving is final: a process that leaves does not return.
	leaving bool
	// pause is the last pause that it asked for, nil once it has returned from it.
	pause *pause
	// excess counts its answers that exceeded the bounds.
	excess excess
	// limit is the rate at which it takes requests.
	limit limit.Limit
	// number orders the statements by age.
	number uint64
}

// statement returns the statement of a process to be changed.
func (s *Scheduler) statement(id Identity) *statement {
	if s.statements == nil {
		s.statements = make(map[Identity]*statement)
	}
	st := s.statements[id]
	if st == nil {
		st = &statement{}
		s.statements[id] = st
		if u := s.byID[id.ID]; u != nil && u.Born == id.Born {
			u.said = st
		}
		s.forgetStatements()
	}
	s.lastStatement++
	st.number = s.lastStatement
	return st
}

// forgetStatements drops the oldest statement of a process that is not registered any
// more if there are more than maxStatements.
func (s *Scheduler) forgetStatements() {
	if len(s.statements) <= maxStatements {
		return
	}
	var oldest Identity
	number := s.lastStatement + 1
	for id, st := range s.statements {
		u := s.byID[id.ID]
		if registered := u != nil && u.Born == id.Born; !registered && st.number > 0 && st.number < number {
			oldest, number = id, st.number
		}
	}
	delete(s.statements, oldest)
}

// Leave records that a process of an upstream said that it leaves, and reports whether
// that was not known. From then on it gets no new request, whatever a list says.
func (s *Scheduler) Leave(id Identity, now time.Time) bool {
	s.init()
	if s.leaving(id) {
		return false
	}
	s.statement(id).leaving = true
	if u := s.byID[id.ID]; u != nil && u.Born == id.Born {
		u.Draining = true
		s.assignServices(now)
	}
	return true
}

// LearnDepartures records the upstreams that a peer names as leaving, and returns those
// that were not known.
func (s *Scheduler) LearnDepartures(list []Identity, now time.Time) []Identity {
	var news []Identity
	for _, id := range list[:min(len(list), maxDepartures)] {
		if s.Leave(id, now) {
			news = append(news, id)
		}
	}
	return news
}

// departures returns the registered upstreams that said that they leave, the newest
// statements first.
func (s *Scheduler) departures() []Identity {
	var list []Identity
	for id, st := range s.statements {
		if u := s.byID[id.ID]; st.leaving && u != nil && u.Born == id.Born {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b Identity) int {
		return cmp.Compare(s.statements[b].number, s.statements[a].number)
	})
	return list[:min(len(list), maxDepartures)]
}

func (s *Scheduler) leaving(id Identity) bool {
	st := s.statements[id]
	return st != nil && st.leaving
}
