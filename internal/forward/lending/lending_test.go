package lending

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const step = 10 * time.Millisecond

// fleet runs entries that lend and borrow on virtual time, over a network that loses,
// delays and doubles messages.
type fleet struct {
	t            *rapid.T
	r            *rand.Rand
	now          time.Time
	entries      []*entry
	loss, double float64
	delay        time.Duration
	messages     []message
	cut          int // the entries before it and the others do not hear each other; 0 for none
	begun        map[string]bool
}

// entry owns some slots, and has requests of its own and of borrowers in them.
type entry struct {
	name     string
	borrower Borrower
	lender   Lender
	owned    int
	own      int
	waiting  int
	running  []use
	frozen   time.Time
	// dirty is set once reports may have been missing for SilentTime, or this entry has
	// restarted: the lender may then count less than what runs.
	dirty bool
	idle  map[uint64]time.Time
	// froze is the longest time for which the entry was frozen: messages to it are late by
	// as much.
	froze time.Duration
}

// use is a request that runs with a loan.
type use struct {
	lender string
	loan   Loan
	end    time.Time
}

type message struct {
	at       time.Time
	from, to int
	run      func()
}

func newFleet(t *rapid.T) *fleet {
	n := rapid.IntRange(1, 400).Draw(t, "entries")
	f := &fleet{
		t: t, r: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Unix(1000, 0), begun: make(map[string]bool),
		loss: rapid.Float64Range(0, 0.5).Draw(t, "loss"), double: rapid.Float64Range(0, 0.4).Draw(t, "double"),
		delay: time.Duration(rapid.IntRange(1, 300).Draw(t, "delay-ms")) * time.Millisecond,
	}
	var targets []Target
	for i := range n {
		targets = append(targets, Target{Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("d", i%3)})
		f.entries = append(f.entries, &entry{name: targets[i].Name, owned: f.r.IntN(6), idle: make(map[uint64]time.Time)})
	}
	for i, e := range f.entries {
		e.start(1, targets, i)
	}
	return f
}

// start begins a process of an entry.
func (e *entry) start(process uint64, targets []Target, i int) {
	e.borrower, e.lender = Borrower{Start: process << 32}, Lender{Start: process << 32}
	others := slices.Delete(slices.Clone(targets), i, i+1)
	e.borrower.SetTargets(targets[i].DataCentre, others)
	e.lender.SetEntries(others)
	clear(e.idle)
}

// restart ends an entry and starts it again: upstreams drop its requests.
func (f *fleet) restart(i int, process uint64) {
	e := f.entries[i]
	var targets []Target
	for k, o := range f.entries {
		targets = append(targets, Target{Name: o.name, DataCentre: fmt.Sprint("d", k%3)})
	}
	e.start(process, targets, i)
	e.running, e.own, e.dirty = nil, 0, true
}

func (f *fleet) send(from, to int, run func()) {
	for f.r.Float64() >= f.loss {
		f.messages = append(f.messages, message{f.now.Add(time.Duration(f.r.Int64N(int64(f.delay)) + 1)), from, to, run})
		if f.r.Float64() >= f.double {
			return
		}
	}
}

func (f *fleet) index(name string) int {
	return slices.IndexFunc(f.entries, func(e *entry) bool { return e.name == name })
}

// lent returns how many loans an entry counts.
func (f *fleet) lent(e *entry) int {
	n := 0
	for _, k := range e.lender.Lent(f.now) {
		n += k
	}
	return n
}

func (f *fleet) report(i int, q Question, demand int) {
	k := f.index(q.To)
	f.send(i, k, func() {
		from, e := f.entries[i], f.entries[k]
		if !e.lender.Receive(from.name, q.Report, f.now) {
			return
		}
		for n := f.lent(e); demand > 0 && e.own+n < e.owned && e.lender.Room(from.name) > 0; n++ {
			demand--
			l := e.lender.Give(from.name, "u", q.Number, f.now)
			f.send(k, i, func() { f.use(i, e.name, q.Number, l) })
		}
	})
}

// use begins a waiting request with a loan.
func (f *fleet) use(i int, from string, ask uint64, l Loan) {
	e := f.entries[i]
	if !e.borrower.Accept(from, ask, l, f.now) {
		return
	}
	if e.waiting == 0 {
		e.borrower.Return(from, l)
		return
	}
	if key := fmt.Sprint(from, l.Sequence); f.begun[key] {
		f.t.Fatalf("%s begins two requests with loan %d of %s", e.name, l.Sequence, from)
	} else {
		f.begun[key] = true
	}
	e.waiting--
	e.borrower.Begin(from, l, f.now)
	e.running = append(e.running, use{from, l, f.now.Add(time.Duration(f.r.Int64N(int64(900 * time.Millisecond))))})
}

// run runs the fleet for a time, with new requests if busy.
func (f *fleet) run(d time.Duration, busy bool) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		list := f.messages
		f.messages = nil
		for _, m := range list {
			switch {
			case f.cut > 0 && (m.from < f.cut) != (m.to < f.cut):
			case m.at.After(f.now) || f.entries[m.to].frozen.After(f.now):
				f.messages = append(f.messages, m)
			default:
				m.run()
			}
		}
		for i, e := range f.entries[:min(len(f.entries), active)] {
			if !e.frozen.After(f.now) {
				f.act(i, e, busy)
			}
		}
		f.check()
	}
}

// active is the number of entries whose requests change.
const active = 24

// act ends and begins requests of an entry, and sends its messages.
func (f *fleet) act(i int, e *entry, busy bool) {
	e.running = slices.DeleteFunc(e.running, func(u use) bool {
		ended := !u.end.After(f.now)
		if ended {
			e.borrower.End(u.lender, u.loan)
		}
		return ended
	})
	if e.own > 0 && f.r.IntN(20) == 0 {
		e.own--
	}
	if busy && f.r.IntN(20) == 0 && e.own+f.lent(e) < e.owned {
		e.own++
	}
	if busy && f.r.IntN(5) == 0 {
		e.waiting++
	}
	if !busy {
		e.waiting = 0
	}
	questions := e.borrower.Ask(e.waiting > 0, true, f.now, f.r)
	if len(questions) > MaxTargets {
		f.t.Fatalf("%d questions in a round", len(questions))
	}
	for _, q := range questions {
		f.report(i, q, e.waiting)
	}
	for _, q := range e.borrower.Reports(f.now) {
		f.report(i, q, 0)
	}
}

// check checks what entries have lent against the requests that run.
func (f *fleet) check() {
	runs := make(map[string]map[Loan]bool)
	for _, e := range f.entries[:min(len(f.entries), active)] {
		for _, u := range e.running {
			if u.end.After(f.now) {
				if runs[u.lender] == nil {
					runs[u.lender] = make(map[Loan]bool)
				}
				runs[u.lender][u.loan] = true
			}
		}
	}
	for _, e := range f.entries {
		if len(e.lender.borrowers) == 0 {
			continue
		}
		n := f.lent(e)
		for i := range 3 {
			e.dirty = e.dirty || e.lender.Tally.Of(fmt.Sprint("d", i)).Lapsed > 0
		}
		if !e.dirty && (len(runs[e.name]) > n || e.own+n > e.owned) {
			f.t.Fatalf("%s owns %d slots: %d own requests, %d loans counted, %d used", e.name, e.owned, e.own, n, len(runs[e.name]))
		}
		f.checkIdle(e, runs[e.name])
	}
}

// checkIdle checks how long a slot counts as used that no request uses.
func (f *fleet) checkIdle(e *entry, runs map[Loan]bool) {
	most := UseTime + SilentTime + 2*f.delay + e.froze + 10*step
	counted := make(map[uint64]bool)
	for _, b := range e.lender.borrowers {
		b.ledger.Each(func(l Entry) {
			counted[l.Sequence] = true
			if runs[l.Loan] {
				delete(e.idle, l.Sequence)
			} else if e.idle[l.Sequence].IsZero() {
				e.idle[l.Sequence] = f.now
			} else if d := f.now.Sub(e.idle[l.Sequence]); d > most {
				f.t.Fatalf("loan %d of %s counts as used for %v without a request, at most %v", l.Sequence, e.name, d, most)
			}
		})
	}
	for sequence := range e.idle {
		if !counted[sequence] {
			delete(e.idle, sequence)
		}
	}
}

// TestLoans guards against loans that let an upstream get more requests than its slots,
// that serve two requests, or that never end, whatever happens to messages and entries.
func TestLoans(t *testing.T) {
	clean, all := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		n := len(f.entries)
		for range rapid.IntRange(1, 4).Draw(rt, "phases") {
			i := rapid.IntRange(0, min(n, active)-1).Draw(rt, "entry")
			switch rapid.SampledFrom([]string{"none", "freeze", "restart", "partition"}).Draw(rt, "disturbance") {
			case "freeze":
				d := time.Duration(rapid.IntRange(50, 3000).Draw(rt, "freeze-ms")) * time.Millisecond
				f.entries[i].frozen, f.entries[i].froze = f.now.Add(d), max(f.entries[i].froze, d)
			case "restart":
				f.restart(i, uint64(f.now.UnixMilli()))
			case "partition":
				f.cut = i
			}
			f.run(time.Duration(rapid.IntRange(100, 1500).Draw(rt, "phase-ms"))*time.Millisecond, true)
			f.cut = 0
		}
		for _, e := range f.entries {
			if len(e.lender.borrowers) > 0 {
				all++
				if !e.dirty {
					clean++
				}
			}
		}
		// Freezes and requests end, then every loan does.
		f.run(3*time.Second+time.Second+SilentTime+UseTime+2*f.delay+20*step, false)
		for _, e := range f.entries {
			if got := f.lent(e); got > 0 {
				rt.Fatalf("%s still counts %d loans", e.name, got)
			}
		}
	})
	if 2*clean < all {
		t.Errorf("the slots of %d of %d lenders were checked to the end, want half", clean, all)
	}
}

// TestAskStaysFlat guards against questions that grow with the fleet or the demand, and
// against questions to other data centres while the own one lends.
func TestAskStaysFlat(t *testing.T) {
	now, r := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{1, 20, 410} {
		var b Borrower
		var targets []Target
		for i := range n {
			targets = append(targets, Target{fmt.Sprint("e", i), fmt.Sprint("d", i%2)})
		}
		b.SetTargets("d0", targets)
		asked, far := 0, 0
		for ms := range 3000 {
			for _, q := range b.Ask(true, true, now.Add(time.Duration(ms)*time.Millisecond), r) {
				asked++
				if !q.Local {
					far++
					continue
				}
				l := Loan{uint64(asked), "u"}
				at := now.Add(time.Duration(ms) * time.Millisecond)
				if ms < 1500 && b.Accept(q.To, q.Number, l, at) {
					b.Begin(q.To, l, at)
					b.End(q.To, l)
				}
			}
			if ms == 1500 && far > 0 {
				t.Errorf("%d entries: %d questions to another data centre while the own one lends", n, far)
			}
		}
		if most := MaxTargets * (1 + 3000/60); asked > most {
			t.Errorf("%d entries: %d questions in 3 s, at most %d", n, asked, most)
		}
		if n > 1 && far == 0 {
			t.Errorf("%d entries: no question to another data centre after the own one has ceased to lend", n)
		}
	}
}
