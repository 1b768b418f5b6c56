package schedule

import (
	"maps"
	"slices"
	"time"

	"agateward/internal/forward/lending"
)

// askMemory is how long a slot that becomes free may be lent for a question that came
// before. A borrower uses no loan later than lending.UseTime after its question.
const askMemory = 100 * time.Millisecond

// keptSlots is the number of free slots of an upstream that are not lent. Peers see a loan in
// the next state alone, and may take the last slots meanwhile: without it, 23 to 35 lent
// requests a run waited in engines instead of 7 to 12, in cells under overload that lent each
// other slots. A slot that has just become free is known to be free.
const keptSlots = 1

// loanAsk is the last question of a borrower.
type loanAsk struct {
	number uint64
	at     time.Time
	demand []Demand
}

// hearBorrower applies a report of a borrower and lends for its demand.
func (s *Scheduler) hearBorrower(from string, r lending.Report, demand []Demand, now time.Time) []Action {
	if !s.loans.lender.Receive(from, r, now) {
		return nil
	}
	s.aggregatePeers(now)
	// Loans that ended leave slots for this entry's own requests.
	out := s.dispatchWaiting(now)
	if len(demand) > 0 {
		if s.loans.asks == nil {
			s.loans.asks = make(map[string]*loanAsk)
		}
		s.loans.asks[from] = &loanAsk{number: r.Number, at: now, demand: slices.Clone(demand[:min(len(demand), lending.MaxRows)])}
	}
	return append(out, s.lendFree(now)...)
}

// lendFree lends free slots for the questions of the last askMemory.
func (s *Scheduler) lendFree(now time.Time) []Action {
	var out []Action
	for name, a := range s.loans.asks {
		if now.Sub(a.at) > askMemory || !slices.ContainsFunc(a.demand, func(d Demand) bool { return d.Count > 0 }) {
			delete(s.loans.asks, name)
		}
	}
	if len(s.loans.asks) == 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		for {
			var best *upstream
			for _, u := range v.upstreams {
				if s.lendable(v, u, now) && u.slots()-u.load() > keptSlots && (best == nil || u.slots()-u.load() > best.slots()-best.load()) {
					best = u
				}
			}
			if best == nil {
				break
			}
			a, ok := s.lend(v, best, now)
			if !ok {
				break
			}
			out = joinLoans(out, a)
		}
	}
	return out
}

// joinLoans adds a loan to the message with the same answer, if there is one with room.
func joinLoans(list []Action, a Action) []Action {
	for i := range list {
		m := list[i].Lending
		if list[i].LendTo == a.LendTo && m.Answer == a.Lending.Answer && len(m.Loans) < lending.MaxLoans {
			m.Loans = append(m.Loans, a.Lending.Loans...)
			return list
		}
	}
	return append(list, a)
}

// lend lends a free slot of u to the borrower whose demand precedes that of the others, if
// it precedes the requests that wait in this cell.
func (s *Scheduler) lend(v *service, u *upstream, now time.Time) (Action, bool) {
	if len(s.loans.asks) == 0 || !s.lendable(v, u, now) {
		return Action{}, false
	}
	var own *Job
	if len(v.queue) > 0 {
		own = v.queue[0]
	}
	var best *Demand
	to := ""
	for _, name := range slices.Sorted(maps.Keys(s.loans.asks)) {
		a := s.loans.asks[name]
		if now.Sub(a.at) > askMemory || s.loans.lender.Room(name) < 1 {
			continue
		}
		for i := range a.demand {
			d := &a.demand[i]
			if d.Service == v.name && d.Count > 0 && s.Options.InHomes(d.Homes, u.DataCentre) && s.demandPrecedes(d, v, own, now.Sub(a.at), now) && (best == nil || demandLess(d, best)) {
				best, to = d, name
			}
		}
	}
	if best == nil || s.cellPrecedes(v, best, now) {
		return Action{}, false
	}
	best.Count--
	ask := s.loans.asks[to].number
	l := s.loans.lender.Give(to, u.ID, ask, now)
	u.loaned++
	return Action{LendTo: to, Lending: &LendingMessage{Answer: ask, Loans: []lending.Loan{l}}}, true
}

// cellPrecedes reports whether a peer of the cell has waiting requests that precede a
// borrower's.
func (s *Scheduler) cellPrecedes(v *service, d *Demand, now time.Time) bool {
	for _, p := range s.peers {
		if now.Sub(p.lastUpdate) > maxDemandAge {
			continue
		}
		for i := range p.state.Demand {
			if e := &p.state.Demand[i]; e.Service == v.name && e.Count > 0 && !demandLess(d, e) {
				return true
			}
		}
	}
	return false
}

// lendable reports whether u has a free slot that is assigned to this entry and may be lent.
func (s *Scheduler) lendable(v *service, u *upstream, now time.Time) bool {
	switch {
	case !s.stopEnd.IsZero(): // its peers would not know of the loan after its exit
		return false
	case 2*len(s.entries) <= len(s.Members):
		// It counts slots of peers that it does not hear as assigned to itself: it has just
		// started or is cut off.
		return false
	case !u.owned, u.held, !u.borrowable(now), u.said.wantsNone(now):
		return false
	case u.load() >= u.slots(), u.ownLoad+u.loaned >= u.assigned:
		return false
	case !now.After(u.backoffUntil), u.failedAttempts > 0, u.unresponsive(now), v.degraded(u):
		return false
	}
	return now.Sub(u.reportedAt) >= reportTTL || now.Sub(u.lastHeard) <= reportTTL
}

// countLoaned counts the slots lent to other cells.
func (s *Scheduler) countLoaned(now time.Time) {
	lent := s.loans.lender.Lent(now)
	for id, u := range s.byID {
		u.loaned = lent[id]
	}
}
