package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "agateward/internal/bench/seed" // fixed seeds
	"agateward/ward"

	"pgregory.net/rapid"
)

// said is what the model knows of one process of an upstream.
type said struct {
	leaving     bool
	pausedUntil time.Time
	// returning holds the running jobs that were sent after the pause, answers counts
	// those that were answered.
	returning map[uint64]bool
	answers   int
}

// statements is a model of one entry whose upstreams say that they leave or ask for
// a pause, while lists, eras, cells and grants change.
type statements struct {
	*rapid.T
	s       *Scheduler
	now     time.Time
	lastJob uint64
	said    map[Identity]*said
	decided []Action // not yet written
	sent    []Action // not yet answered
	granted uint64
}

// names are the ids of the upstreams; the last is the only one of its service.
var names = []string{"u0", "u1", "u2", "u3", "u4"}

func (m *statements) at(a Action) *said { return m.of(IdentityOf(a.Upstream)) }

func (m *statements) of(id Identity) *said {
	if m.said[id] == nil {
		m.said[id] = &said{}
	}
	return m.said[id]
}

// take records the actions of a call and checks the upstreams that they name.
func (m *statements) take(actions []Action) {
	for _, a := range actions {
		if a.Upstream != nil {
			if k := m.at(a); k.leaving || m.now.Before(k.pausedUntil) {
				m.Fatalf("%v: a slot of %s is used or granted to %q, leaving %v, paused until %v", m.now.Sub(start), a.Upstream.ID, a.GrantTo, k.leaving, k.pausedUntil.Sub(start))
			}
		}
		switch {
		case a.GrantTo != "":
		case a.Upstream != nil:
			m.decided = append(m.decided, a)
		case a.RetryAfter <= 0 || a.Reason == "":
			m.Fatalf("refusal without a delay or a reason: %+v", a)
		}
	}
}

func (m *statements) arrive() {
	m.lastJob++
	j := job(m.lastJob, rapid.IntRange(0, 2).Draw(m.T, "rank"), m.now)
	j.Repeatable = rapid.Bool().Draw(m.T, "repeatable")
	j.Service = rapid.SampledFrom([]string{"menus", "menus", "menus@v2", "single"}).Draw(m.T, "service")
	m.take(m.s.Arrive(j, m.now))
}

// write does what an entry does right before it writes a request.
func (m *statements) write() {
	if len(m.decided) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.decided)-1).Draw(m.T, "decided")
	a := m.decided[i]
	m.decided = append(m.decided[:i], m.decided[i+1:]...)
	if !m.s.MaySend(a.Job.ID, m.now) {
		m.take(m.s.Done(a.Job.ID, OutcomeNeutral, m.now))
		m.take(m.s.Arrive(a.Job, m.now))
		return
	}
	if k := m.at(a); k.leaving || m.now.Before(k.pausedUntil) {
		m.Fatalf("%v: job %d is sent to %s (born %d), leaving %v, paused until %v", m.now.Sub(start), a.Job.ID, a.Upstream.ID, a.Upstream.Born, k.leaving, k.pausedUntil.Sub(start))
	}
	if k := m.at(a); !k.pausedUntil.IsZero() {
		if k.returning[a.Job.ID] = true; len(k.returning) > 1<<k.answers {
			m.Fatalf("%v: %d requests run at %s after its pause, %d were answered", m.now.Sub(start), len(k.returning), a.Upstream.ID, k.answers)
		}
	}
	m.sent = append(m.sent, a)
}

func (m *statements) answer() {
	if len(m.sent) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.sent)-1).Draw(m.T, "sent")
	a := m.sent[i]
	m.sent = append(m.sent[:i], m.sent[i+1:]...)
	id := Identity{ID: a.Upstream.ID, Born: a.Upstream.Born}
	o := rapid.SampledFrom([]Outcome{OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeUnreachable}).Draw(m.T, "outcome")
	k := m.at(a)
	switch rapid.IntRange(0, 4).Draw(m.T, "statement") {
	case 0:
		m.s.Leave(id, m.now)
		k.leaving, o = true, OutcomeOK
	case 1:
		d := time.Duration(rapid.SampledFrom([]int{100, 500, 3000}).Draw(m.T, "pause ms")) * time.Millisecond
		m.s.Pause(id, d, m.now)
		if !m.now.Before(k.pausedUntil) {
			k.returning, k.answers = make(map[uint64]bool), 0
		}
		if end := m.now.Add(d); end.After(k.pausedUntil) {
			k.pausedUntil = end
		}
		o = OutcomeFull
	}
	if o == OutcomeOK && k.returning[a.Job.ID] {
		k.answers++
	}
	delete(k.returning, a.Job.ID)
	if o == OutcomeOK {
		m.s.FirstEvent(a.Job.ID, m.now)
	}
	m.take(m.s.Done(a.Job.ID, o, m.now))
}

// list applies a list of the store: with upstreams missing, back, moved to another
// group or as they were before a restart.
func (m *statements) list() {
	var list []ward.Replica
	for i, name := range names {
		if rapid.IntRange(0, 3).Draw(m.T, "missing") == 0 {
			continue
		}
		r := ward.Replica{ID: name, Born: int64(rapid.IntRange(1, 2).Draw(m.T, "born")), DataCentre: "a", Slots: 3, Address: fmt.Sprint("10.0.0.", i, ":80"), Service: "menus"}
		if rapid.Bool().Draw(m.T, "moved") {
			r.Address = "10.0.1.1:80"
		}
		if rapid.IntRange(0, 3).Draw(m.T, "new version") == 0 {
			r.Service = "menus@v2"
		}
		if i == len(names)-1 {
			r.Service = "single"
		}
		r.Draining = rapid.IntRange(0, 7).Draw(m.T, "draining") == 0
		list = append(list, r)
	}
	m.take(m.s.SetUpstreams(list, m.now))
}

// peer applies a message of a peer: its state, with upstreams that leave, or a slot that
// it grants.
func (m *statements) peer() {
	id := rapid.SampledFrom(names).Draw(m.T, "upstream")
	if rapid.Bool().Draw(m.T, "grants") {
		m.granted++
		m.take(m.s.ReceiveGrant("entry-2", id, m.granted, rapid.Bool().Draw(m.T, "used"), m.now))
		return
	}
	if rapid.IntRange(0, 5).Draw(m.T, "names one that leaves") == 0 {
		gone := Identity{ID: id, Born: int64(rapid.IntRange(1, 2).Draw(m.T, "born"))}
		m.s.LearnDepartures([]Identity{gone}, m.now)
		m.of(gone).leaving = true
	}
	d := Demand{Service: "menus", Count: rapid.IntRange(0, 3).Draw(m.T, "waiting"), Slack: 100 * time.Millisecond}
	m.take(m.s.UpdatePeer("entry-2", PeerState{Load: map[string]int{id: rapid.IntRange(0, 3).Draw(m.T, "load")}, Demand: []Demand{d}}, m.now))
}

func (m *statements) pass() {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 150, 400}).Draw(m.T, "ms")) * time.Millisecond)
	m.take(m.s.Tick(m.now))
}

// Guards against any path on which an upstream that said that it leaves, or that asked
// for a pause, gets a request: lists of any age, cells, grants, queued requests and
// requests whose dispatch was decided before.
func TestStatementsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &statements{T: rt, now: start, said: make(map[Identity]*said)}
		m.s = &Scheduler{Name: "entry-1", DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))}
		m.list()
		do := map[string]func(){
			"arrive": m.arrive, "write": m.write, "answer": m.answer, "list": m.list, "peer": m.peer, "pass": m.pass,
			"cell": func() {
				m.s.Cells = rapid.IntRange(0, 2).Draw(rt, "cells")
				m.s.Cell = rapid.IntRange(0, max(m.s.Cells-1, 0)).Draw(rt, "cell")
				m.list()
			},
		}
		for _, event := range rapid.SliceOfN(rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "write", "write", "write", "answer", "answer", "list", "peer", "pass", "pass", "cell"}), 60, 160).Draw(rt, "events") {
			do[event]()
		}
	})
}

// Guards against statements of upstreams that are gone filling the memory, and against
// forgetting one of an upstream that is still registered.
func TestStatementsAreBounded(t *testing.T) {
	s := newScheduler("entry-1", engines(1, 1))
	s.Leave(Identity{ID: "engine-0"}, start)
	const gone = maxStatements + 50
	for i := range gone {
		s.Leave(Identity{ID: fmt.Sprint("gone-", i)}, start)
	}
	if n := len(s.statements); n > maxStatements {
		t.Errorf("%d statements, want at most %d", n, maxStatements)
	}
	if !s.leaving(Identity{ID: "engine-0"}) || !s.leaving(Identity{ID: fmt.Sprint("gone-", gone-1)}) {
		t.Error("the statement of a registered upstream or the newest one was forgotten")
	}
}

// Guards against entries that don't tell each other which upstreams leave, against
// telling of a pause, and against messages that grow with the upstreams that are gone.
func TestDeparturesReachPeers(t *testing.T) {
	list := engines(2, 2)
	list[0].Born = 7
	a, b := newScheduler("entry-1", list), newScheduler("entry-2", list)
	a.Leave(Identity{ID: "engine-0", Born: 6}, start) // an earlier process
	a.Leave(Identity{ID: "engine-0", Born: 7}, start)
	a.Pause(Identity{ID: "engine-1"}, time.Second, start)
	told := a.PeerState(start).Departures
	if len(told) != 1 || told[0] != (Identity{ID: "engine-0", Born: 7}) {
		t.Fatalf("told %v", told)
	}
	if news := b.LearnDepartures(told, start); len(news) != 1 {
		t.Errorf("news %v, want one", news)
	}
	if news := b.LearnDepartures(told, start); len(news) != 0 {
		t.Errorf("news %v the second time", news)
	}
	for id := range uint64(2) {
		if x := dispatched(t, b.Arrive(job(id, 0, start), start)); x.Upstream.ID != "engine-1" {
			t.Errorf("job %d is sent to %s", id, x.Upstream.ID)
		}
	}
	list[0].Born = 8
	b.SetUpstreams(list, start)
	if x := dispatched(t, b.Arrive(job(3, 0, start), start)); x.Upstream.ID != "engine-0" {
		t.Errorf("a new process under the id gets nothing, job 3 is sent to %s", x.Upstream.ID)
	}
}
