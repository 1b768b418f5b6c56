package schedule

import (
	"maps"
	"slices"
	"time"

	"agateward/internal/forward/lending"
)

const (
	// fallBackAfter is how long requests wait while nothing is lent before the upstreams
	// of other cells are used without knowing the load there, as before an entry that has no
	// other; fallBackTime is how long that goes on before loans are waited for again.
	fallBackAfter = time.Second
	fallBackTime  = 5 * time.Second
)

// LendingMessage is a message between entries of different cells about lent slots: a report
// of a borrower, with its demand if it asks, or the loans that a lender gives.
type LendingMessage struct {
	Report *lending.Report `msgpack:"r,omitempty"`
	Demand []Demand        `msgpack:"d,omitempty"`
	// Answer is the number of the report that Loans answers.
	Answer uint64         `msgpack:"a,omitempty"`
	Loans  []lending.Loan `msgpack:"l,omitempty"`
}

// OtherCell is a cell of the fleet to which this entry does not belong.
type OtherCell struct {
	DataCentre string
	Members    []string
}

// loans is what the scheduler knows of slots lent between cells. Its zero value knows
// nothing.
type loans struct {
	borrower lending.Borrower
	lender   lending.Lender
	// cells is the number of cells by data centre.
	cells map[string]int
	// asks holds the last question of each borrower.
	asks map[string]*loanAsk
}

// borrowedSlot is the slot of another cell that a request uses.
type borrowedSlot struct {
	lender string
	loan   lending.Loan
}

// elsewhere is the use of upstreams that belong to other cells.
type elsewhere struct {
	// unlent is since when requests wait and nothing was lent; zero while something is.
	unlent time.Time
}

// allowed reports whether nothing was lent for long enough.
func (e *elsewhere) allowed(now time.Time) bool {
	age := now.Sub(e.unlent)
	return !e.unlent.IsZero() && age >= fallBackAfter && age < fallBackAfter+fallBackTime
}

// wait records that requests wait.
func (e *elsewhere) wait(now time.Time) {
	if e.unlent.IsZero() || now.Sub(e.unlent) >= fallBackAfter+fallBackTime {
		e.unlent = now
	}
}

// lends reports whether this entry lends and borrows slots.
func (s *Scheduler) lends() bool { return s.Options.LendSlots && s.Cells > 0 }

// SetOtherCells replaces the cells that this entry may borrow from.
func (s *Scheduler) SetOtherCells(list []OtherCell) {
	s.loans.borrower.Start, s.loans.lender.Start = s.Start, s.Start
	s.loans.cells = map[string]int{s.DataCentre: 1}
	var targets []lending.Target
	for _, c := range list {
		s.loans.cells[c.DataCentre]++
		for _, name := range c.Members {
			targets = append(targets, lending.Target{Name: name, DataCentre: c.DataCentre})
		}
	}
	s.loans.borrower.SetTargets(s.DataCentre, targets)
	s.loans.lender.SetEntries(targets)
}

// markShares records which upstreams of a service belong to this cell alone, and which to
// one other cell.
func (s *Scheduler) markShares(v *service, all []*upstream) {
	number := make(map[string]int)
	for _, u := range all {
		u.owned, u.elsewhere = false, nil
		number[u.DataCentre]++
	}
	if !s.lends() {
		return
	}
	for _, u := range all {
		u.owned = u.home && number[u.DataCentre] >= minCellUpstreams*s.Cells
		cells := s.loans.cells[u.DataCentre]
		if cells > 0 && number[u.DataCentre] >= minCellUpstreams*cells && !u.owned {
			u.elsewhere = &v.elsewhere
		}
	}
}

// barred reports whether u belongs to another cell and is not to be used without a loan.
func (u *upstream) barred(now time.Time) bool {
	return u.elsewhere != nil && !u.held && !u.paced(now) && !u.elsewhere.allowed(now)
}

// Lending returns the reports to lenders, and the questions for slots, that are due.
func (s *Scheduler) Lending(now time.Time) []Action {
	if !s.lends() {
		return nil
	}
	out := s.askLoans(now)
	for _, q := range s.loans.borrower.Reports(now) {
		out = append(out, Action{LendTo: q.To, Lending: &LendingMessage{Report: &q.Report}})
	}
	return out
}

// askLoansFor asks for slots if requests of a service wait.
func (s *Scheduler) askLoansFor(v *service, now time.Time) []Action {
	if !s.lends() || len(v.queue) == 0 {
		return nil
	}
	return s.askLoans(now)
}

// askLoans asks entries of other cells for slots for the waiting requests.
func (s *Scheduler) askLoans(now time.Time) []Action {
	if s.Waiting() == 0 {
		return nil
	}
	for _, v := range s.services {
		if len(v.queue) > 0 {
			v.elsewhere.wait(now)
		}
	}
	if !s.loans.borrower.MayAsk(now) {
		return nil
	}
	local := s.loanDemand(false, now)
	remote := s.loanDemand(true, now)
	var out []Action
	for _, q := range s.loans.borrower.Ask(len(local) > 0, len(remote) > 0, now, s.Rand) {
		rows := remote
		if q.Local {
			rows = local
		}
		m := &LendingMessage{Report: &q.Report, Demand: slices.Clone(rows)}
		for i := range m.Demand {
			m.Demand[i].Count = (m.Demand[i].Count + q.Part - 1) / q.Part
		}
		out = append(out, Action{LendTo: q.To, Lending: m})
	}
	return out
}

// loanDemand returns the demand for slots of other cells, the first to be served first. For
// those in other data centres it holds only the requests that would else be late or refused.
func (s *Scheduler) loanDemand(remote bool, now time.Time) []Demand {
	var list []Demand
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		if v.pauseLeft(now) > 0 {
			continue
		}
		for i, j := range v.queue {
			if j.NoLoan || remote && !s.needsRemote(v, j, i, now) {
				continue
			}
			d := s.demandOf(v, j, now)
			if n := len(list); n > 0 && list[n-1].like(d) {
				list[n-1].Count++
				list[n-1].Slack = min(list[n-1].Slack, d.Slack)
				continue
			}
			list = append(list, d)
		}
	}
	slices.SortStableFunc(list, func(a, b Demand) int {
		switch {
		case demandLess(&a, &b):
			return -1
		case demandLess(&b, &a):
			return 1
		}
		return 0
	})
	return list[:min(len(list), lending.MaxRows)]
}

// needsRemote reports whether a job with ahead waiting jobs before it would be late or
// refused without a slot of another data centre.
func (s *Scheduler) needsRemote(v *service, j *Job, ahead int, now time.Time) bool {
	late := s.late(v, j, now)
	if late || v.unreachable(now) || !slices.ContainsFunc(v.upstreams, func(u *upstream) bool { return !u.Draining && u.elsewhere == nil }) {
		return true
	}
	wait := s.expectedWait(v, j, late, ahead+1, now)
	return now.Add(wait + s.minTimeToFirst(v, j, now)).After(j.Due)
}

// ReceiveLending applies a message of an entry of another cell.
func (s *Scheduler) ReceiveLending(from string, m LendingMessage, now time.Time) []Action {
	s.init()
	if !s.lends() {
		return nil
	}
	var out []Action
	for _, l := range m.Loans[:min(len(m.Loans), lending.MaxLoans)] {
		if s.loans.borrower.Accept(from, m.Answer, l, now) {
			out = append(out, s.useLoan(from, l, now)...)
		}
	}
	if m.Report != nil {
		out = append(out, s.hearBorrower(from, *m.Report, m.Demand, now)...)
	}
	return append(out, s.Lending(now)...)
}

// useLoan begins the first waiting request that may use a loan, or gives the loan back.
func (s *Scheduler) useLoan(from string, l lending.Loan, now time.Time) []Action {
	u := s.byID[l.Upstream]
	if u == nil || !u.borrowable(now) || s.service(u.Service).degraded(u) {
		s.loans.borrower.Return(from, l)
		return nil
	}
	v := s.service(u.Service)
	v.elsewhere.unlent = time.Time{}
	s.sortQueue(v, now)
	for i, j := range v.queue {
		if j.NoLoan || slices.Contains(j.Avoid, u.ID) || !s.Options.InHomes(j.Homes, u.DataCentre) || now.After(j.Expires) || !u.accepts(j.Repeatable, now) {
			continue
		}
		if u.outlastsStop(j, now) || s.unboundAtStop(j, now) {
			continue
		}
		v.queue = slices.Delete(v.queue, i, i+1)
		s.loans.borrower.Begin(from, l, now)
		a := s.dispatch(v, u, j, now)
		a.Lender, a.Queued = from, len(v.queue)
		s.jobs[j.ID].borrowed = &borrowedSlot{lender: from, loan: l}
		u.foreign++
		return []Action{a}
	}
	s.loans.borrower.Return(from, l)
	return nil
}

// borrowable reports whether a loan of u may be used. The lender may not know yet what u
// said.
func (u *upstream) borrowable(now time.Time) bool {
	return !u.Draining && (u.said == nil || u.said.pause == nil) && !u.paced(now) && !u.brittle(now)
}

// endLoan ends the use of a slot of another cell.
func (s *Scheduler) endLoan(r *running) {
	r.upstream.foreign = max(r.upstream.foreign-1, 0)
	s.loans.borrower.End(r.borrowed.lender, r.borrowed.loan)
}

// LoanCounts returns the questions and loans since the start that concern entries of a data
// centre.
func (s *Scheduler) LoanCounts(dataCentre string) lending.Counts {
	b, l := s.loans.borrower.Tally.Of(dataCentre), s.loans.lender.Tally.Of(dataCentre)
	b.Given, b.Lapsed = l.Given, l.Lapsed
	return b
}
