package schedule

import (
	"testing"
	"time"

	"agateward/internal/forward/lending"
	"agateward/internal/forward/limit"
	"agateward/ward"
)

// newLender returns the only entry of the first of two cells, which owns engine-0 and
// engine-2 of four.
func newLender(slots int) *Scheduler {
	s := newScheduler("entry-1", engines(4, slots))
	s.Options.LendSlots, s.Cells = true, 2
	s.SetOtherCells([]OtherCell{{DataCentre: "a", Members: []string{"entry-2"}}})
	s.SetUpstreams(engines(4, slots), start)
	return s
}

// question is a borrower's question for count slots.
func question(number uint64, count int) LendingMessage {
	return LendingMessage{Report: &lending.Report{Number: number}, Demand: []Demand{{Service: "menus", Rank: [2]int{0, 1}, Count: count, Slack: 300 * time.Millisecond}}}
}

// lent returns the upstreams of the loans in actions.
func lent(actions []Action) []string {
	var list []string
	for _, a := range actions {
		if a.Lending != nil {
			for _, l := range a.Lending.Loans {
				list = append(list, l.Upstream)
			}
		}
	}
	return list
}

// TestWhatIsLent guards against loans of slots that others use or need, or of upstreams that
// are to get nothing from other cells.
func TestWhatIsLent(t *testing.T) {
	engine := func(change func(r *ward.Replica)) func(s *Scheduler) {
		return func(s *Scheduler) {
			list := engines(4, 3)
			change(&list[0])
			s.SetUpstreams(list, start)
		}
	}
	id := Identity{ID: "engine-0"}
	tests := []struct {
		name    string
		prepare func(s *Scheduler)
		want    int
	}{
		{"all slots of two engines but the last", func(*Scheduler) {}, 4},
		{"option off", func(s *Scheduler) { s.Options.LendSlots = false }, 0},
		{"no cells", func(s *Scheduler) { s.Cells = 0 }, 0},
		{"draining", engine(func(r *ward.Replica) { r.Draining = true }), 2},
		{"evacuated", engine(func(r *ward.Replica) { r.Draining, r.Evacuated = true, true }), 2},
		{"version under evaluation", engine(func(r *ward.Replica) { r.Service = "menus@v2" }), 0},
		{"paused", func(s *Scheduler) { s.Pause(id, time.Second, start) }, 2},
		{"back from a pause", func(s *Scheduler) { s.Pause(id, time.Second, start.Add(-2*time.Second)) }, 2},
		{"limited", func(s *Scheduler) {
			s.LearnLimits([]LimitReport{{Upstream: id, State: limit.State{Version: 1, Limited: true, PerSecond: 2}}}, start)
		}, 2},
		{"brittle", func(s *Scheduler) { s.learnBrittle("menus", start, start) }, 0},
		{"unreachable", func(s *Scheduler) { s.byID["engine-0"].failedAttempts = 1 }, 2},
		{"own request", func(s *Scheduler) { s.Arrive(job(1, 2, start), start) }, 3},
		{"hears one of three peers", func(s *Scheduler) {
			s.Members = []string{"entry-1", "entry-2", "entry-3", "entry-4"}
			s.UpdatePeer("entry-3", PeerState{}, start)
		}, 0},
		{"stopping", func(s *Scheduler) { s.Stop(start.Add(time.Second), start.Add(time.Second)) }, 0},
		{"peer of the cell with a higher rank", func(s *Scheduler) {
			s.UpdatePeer("entry-3", PeerState{Demand: []Demand{{Service: "menus", Count: 9, Slack: time.Second}}}, start)
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newLender(3)
			tt.prepare(s)
			if got := lent(s.ReceiveLending("entry-2", question(1, 9), start)); len(got) != tt.want {
				t.Errorf("lent %v, want %d slots", got, tt.want)
			}
		})
	}
}

// TestLoanCountsAsOwnLoad guards against a lender whose cell fills slots that it has lent,
// and against slots that stay lent after the borrower has given them back or is silent.
func TestLoanCountsAsOwnLoad(t *testing.T) {
	s := newLender(2)
	got := s.ReceiveLending("entry-2", question(1, 3), start)
	loans := make([]lending.Loan, 0, 2)
	for _, a := range got {
		loans = append(loans, a.Lending.Loans...)
	}
	if len(loans) != 2 {
		t.Fatalf("%v is lent, want 2 slots", loans)
	}
	load := func(now time.Time) int {
		n := 0
		for _, k := range s.PeerState(now).Load {
			n += k
		}
		return n
	}
	if n := load(start); n != 2 {
		t.Errorf("load %d is reported, want 2", n)
	}
	dispatched(t, s.Arrive(job(1, 0, start), start))
	dispatched(t, s.Arrive(job(2, 0, start), start))
	if a := s.Arrive(job(3, 0, start), start); len(a) != 1 || a[0].Lending == nil {
		t.Fatalf("a request without a free slot: %+v, want a question", a)
	}
	at := start.Add(10 * time.Millisecond)
	back := lending.Report{Number: 2, Returned: []uint64{loans[0].Sequence}, Used: loans[1:]}
	dispatched(t, s.ReceiveLending("entry-2", LendingMessage{Report: &back}, at))
	if n := load(at); n != 4 {
		t.Errorf("load %d after one slot came back, want 4", n)
	}
	at = at.Add(lending.SilentTime + time.Millisecond)
	s.Tick(at)
	if n := load(at); n != 3 {
		t.Errorf("load %d after the borrower was silent, want 3", n)
	}
}

// TestLoanServesOneRequest guards against a loan that serves a canary, two requests, or one
// after its time, and against a borrower that counts the loan in its own cell.
func TestLoanServesOneRequest(t *testing.T) {
	s := newScheduler("entry-2", engines(4, 1))
	s.Options.LendSlots, s.Cells, s.Cell = true, 2, 1
	s.SetOtherCells([]OtherCell{{DataCentre: "a", Members: []string{"entry-1"}}})
	s.SetUpstreams(engines(4, 1), start)
	for id := uint64(1); id <= 2; id++ {
		dispatched(t, s.Arrive(job(id, 0, start), start))
	}
	canary := job(3, 0, start)
	canary.NoLoan = true
	if a := s.Arrive(canary, start); len(a) != 0 {
		t.Fatalf("a waiting canary: %+v, want no question", a)
	}
	asked := s.Arrive(job(4, 1, start), start)
	if len(asked) != 1 || asked[0].LendTo != "entry-1" {
		t.Fatalf("a waiting request: %+v, want one question", asked)
	}
	s.Arrive(job(5, 1, start), start)
	m := LendingMessage{Answer: asked[0].Lending.Report.Number, Loans: []lending.Loan{{Sequence: 7, Upstream: "engine-0"}}}
	a := dispatched(t, s.ReceiveLending("entry-1", m, start.Add(5*time.Millisecond)))
	if a.Job.ID != 4 || a.Upstream.ID != "engine-0" || a.Lender != "entry-1" {
		t.Errorf("job %d goes to %s, lent by %q; want 4, engine-0, entry-1", a.Job.ID, a.Upstream.ID, a.Lender)
	}
	if n := s.PeerState(start).Load["engine-0"]; n != 0 {
		t.Errorf("load %d of the lender's engine is reported, want 0", n)
	}
	for _, at := range []time.Duration{6 * time.Millisecond, lending.UseTime + time.Millisecond} {
		m.Loans[0].Sequence++
		if at < lending.UseTime {
			m.Loans[0].Sequence = 7 // doubled
		}
		for _, a := range s.ReceiveLending("entry-1", m, start.Add(at)) {
			if a.Upstream != nil {
				t.Errorf("after %v the loan serves job %d", at, a.Job.ID)
			}
		}
	}
	for _, a := range s.Done(4, OutcomeOK, start.Add(300*time.Millisecond)) {
		if a.Lending != nil && a.Lending.Report != nil && len(a.Lending.Report.Used) > 0 {
			t.Errorf("the report after the end still names %v", a.Lending.Report.Used)
		}
	}
}

// TestUpstreamsElsewhereWaitForLoans guards against requests of an evacuated data centre that
// fill upstreams elsewhere without knowing the load there, and against ones that wait for
// loans that nobody gives.
func TestUpstreamsElsewhereWaitForLoans(t *testing.T) {
	list := engines(4, 2)
	for i := range list {
		list[i].DataCentre = "b"
	}
	list = append(list, ward.Replica{ID: "own", Service: "menus", DataCentre: "a", Address: "own", Slots: 2, Draining: true, Evacuated: true})
	s := newScheduler("entry-1", nil)
	s.Options.LendSlots, s.Cells = true, 2
	s.SetOtherCells([]OtherCell{{DataCentre: "a", Members: []string{"entry-2"}}, {DataCentre: "b", Members: []string{"entry-3"}}})
	s.SetUpstreams(list, start)
	j := job(1, 0, start)
	j.Expires = start.Add(10 * time.Second)
	if a := s.Arrive(j, start); len(a) == 0 || a[0].Lending == nil {
		t.Fatalf("at first: %+v, want a question", a)
	}
	for ms := 15; ms < 1000; ms += 15 {
		for _, a := range s.Tick(start.Add(time.Duration(ms) * time.Millisecond)) {
			if a.Job != nil {
				t.Fatalf("after %d ms: %+v, want it to wait", ms, a)
			}
		}
	}
	dispatched(t, s.Tick(start.Add(1010*time.Millisecond)))
	at := start.Add(fallBackAfter + fallBackTime + time.Millisecond)
	if a := s.Arrive(job(2, 0, at), at); len(a) == 0 || a[0].Lending == nil {
		t.Errorf("after %v: %+v, want a question again", fallBackTime, a)
	}
}
