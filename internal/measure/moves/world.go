package moves

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"agateward/internal/move/analysis"
	"agateward/internal/move/evidence"
	"agateward/internal/move/machine"
	"agateward/internal/move/plan"
	"agateward/internal/move/quarantine"
	"agateward/internal/move/split"
	"agateward/ward"
)

const (
	entries = 8
	// look is the time between two looks and two messages of an entry.
	look = time.Second
	// fanout is the number of peers that an entry tells at each look.
	fanout = 3
	// slots bounds the time that an answer is waited for, in looks.
	slots = 1024
	// term is the time to live of the lease.
	term = 15 * time.Second
)

// stepNames are the names of the steps in counts.
var stepNames = func() (names [plan.Steps + 1]string) {
	for i := range names {
		names[i] = evidence.StepName("x@2", i)
	}
	return names
}()

var epoch = time.Unix(1_000_000_000, 0)

// ended is one answer that is being waited for.
type ended struct {
	entry, route, step int
	next               bool
	outcome            ward.Outcome
}

// pair are the totals of one entry on a route.
type pair struct{ old, next analysis.Totals }

// arm returns the totals of one version.
func (p *pair) arm(next bool) *analysis.Totals {
	if next {
		return &p.next
	}
	return &p.old
}

// snapshot is what was counted on each route in each step.
type snapshot [routes][plan.Steps + 1]pair

// added is one more outcome: a failure for a bucket of -1.
type added struct {
	route  int
	step   int
	next   bool
	bucket int
}

// samples returns the totals of a route in a step and in the one before.
func (s *snapshot) samples(route, step int) (analysis.Sample, analysis.Sample) {
	p, q := &s[route][max(step-1, 0)], &s[route][step]
	return analysis.Sample{Step: step - 1, Old: p.old, Next: p.next}, analysis.Sample{Step: step, Old: q.old, Next: q.next}
}

func (s *snapshot) add(a added) {
	t := s[a.route][a.step].arm(a.next)
	if a.bucket < 0 {
		t.Failed++
		return
	}
	t.Succeeded++
	t.Latency[a.bucket]++
}

// entry is one entry of the fleet.
type entry struct {
	recorder evidence.Recorder
	// own is what it has counted itself, sum that with what it has heard of:
	// versions counts the parts of each entry's log in it.
	own      snapshot
	sum      snapshot
	versions [entries]int
	brakes   quarantine.Set
	state    ward.MoveState
	analyses [routes]analysis.Analysis
	verdicts [routes]analysis.Verdict
	step     int
	splits   []ward.Split
	credit   [routes]float64
	inFlight [routes]int
	// dirty says that the own counts changed, heard that any did.
	dirty  bool
	heard  bool
	dead   bool
	paused time.Duration
	// held is until when it sends nothing to the new version after a pause.
	held time.Duration
}

// world is one move from its ticket to its outcome.
type world struct {
	profile
	rng     *rand.Rand
	cfg     ward.Config
	entries [entries]*entry
	waiting [slots][]ended
	tick    int
	store   store
	machine machine.Machine
	// oracle sees all counts at once.
	oracle   [routes]analysis.Analysis
	all      snapshot
	logs     [entries][][]added
	result   result
	stepping int
	// sleeper is the paused holder, sleeperFence its fencing number.
	sleeper      int
	sleeperFence uint64
}

// result is what one move showed.
type result struct {
	kind    kind
	outcome ward.EventKind
	// onTime says that the whole traffic was on the new version by the deadline.
	onTime bool
	// bad counts the requests to the version while it was bad, until the first
	// conviction, all those of the route or routes until then.
	bad, all int
	// shown is when the oracle convicted, convicted when the first entry did,
	// last when the last request went to the bad version; 0: never.
	shown, convicted, last time.Duration
	// told counts the outcomes, stepsInOutage the steps made while the store was
	// down, stale the writes of paused holders that took effect.
	told, stepsInOutage, stale int
}

func (w *world) now() time.Time    { return epoch.Add(w.at()) }
func (w *world) at() time.Duration { return time.Duration(w.tick) * look }

func newWorld(p profile, seed uint64, f faults) *world {
	w := &world{profile: p, rng: rand.New(rand.NewPCG(seed, 7))}
	w.store.faults = f
	w.result.kind = p.kind
	for r := range routes {
		w.cfg.Routes = append(w.cfg.Routes, ward.Route{Name: fmt.Sprint("route-", r), Serves: "m", Version: "v1", Ticket: 1})
	}
	w.cfg.Moves = []ward.Move{{Name: "x", Serves: "m", From: "v1", To: "v2", Ticket: 2, Deadline: epoch.Add(p.window)}}
	for i := range entries {
		e := &entry{recorder: evidence.Recorder{Entry: fmt.Sprint(i)}}
		for r := range routes {
			e.credit[r] = w.rng.Float64()
		}
		w.entries[i] = e
		w.refresh(i)
	}
	return w
}

// quiet tells whether no entry sends anything to the new version any more.
func (w *world) quiet() bool {
	for _, e := range w.entries {
		if !e.dead && e.splits[0].Share > 0 {
			return false
		}
	}
	return true
}

// send lets the requests of one look arrive at random live entries.
func (w *world) send() {
	live := w.live()
	for r := range routes {
		for range poisson(w.rng, w.rate*look.Seconds()) {
			i := live[w.rng.IntN(len(live))]
			w.dispatch(i, r)
		}
	}
}

func (w *world) dispatch(i, r int) {
	e := w.entries[i]
	s := e.splits[r]
	if w.at() < e.held {
		s = split.WithoutNext(e.splits)[r]
	}
	next := false
	if s.Next != "" && s.Share > 0 {
		e.credit[r] = min(e.credit[r]+s.Share, 2)
		if e.credit[r] >= 1 && (s.MaxInFlight == 0 || e.inFlight[r] < s.MaxInFlight) {
			e.credit[r]--
			next = true
		}
	} else if s.Version == "v2" {
		next = true
	}
	bad := next && w.bad(w.at(), r, e.state.Share)
	w.account(r, bad)
	prompt, output, total, ok := w.answer(w.rng, w.at(), bad)
	o := ward.Outcome{OK: ok, Connected: true, PromptTokens: prompt, OutputTokens: output, Total: total, At: w.now().Add(total)}
	if next {
		e.inFlight[r]++
	}
	slot := (w.tick + 1 + int(min(total/look, slots-2))) % slots
	w.waiting[slot] = append(w.waiting[slot], ended{i, r, e.state.Step, next, o})
}

// account counts a request for the part that a bad version gets.
func (w *world) account(r int, bad bool) {
	if w.route >= 0 && w.route != r {
		return
	}
	if bad {
		w.result.last = w.at()
	}
	if w.result.convicted > 0 {
		return
	}
	w.result.all++
	if bad {
		w.result.bad++
	}
}

// complete hands the answers of this look to the entries that wait for them.
func (w *world) complete() {
	slot := w.tick % slots
	for _, a := range w.waiting[slot] {
		e := w.entries[a.entry]
		if a.next {
			e.inFlight[a.route]--
		}
		if a.step == 0 || e.dead {
			continue
		}
		version := "v1"
		if a.next {
			version = "v2"
		}
		e.recorder.Observe(evidence.Key{Move: stepNames[a.step], Route: w.cfg.Routes[a.route].Name, Version: version}, a.outcome, !a.next)
		e.dirty = true
	}
	w.waiting[slot] = w.waiting[slot][:0]
}

// refresh works the splits of an entry out afresh.
func (w *world) refresh(i int) {
	e := w.entries[i]
	e.splits = split.Splits(&w.cfg, []ward.MoveState{e.state}, e.brakes.List(), split.Fleet{Entries: entries, Index: i})
}

func (w *world) live() []int {
	var list []int
	for i, e := range w.entries {
		if !e.dead && w.at() >= e.paused {
			list = append(list, i)
		}
	}
	return list
}

// tell counts the outcomes among the events that a holder tells.
func (w *world) tell(events []ward.Event) {
	for _, e := range events {
		if strings.HasSuffix(e.ID, "/outcome") {
			w.result.told++
			w.result.outcome = e.Kind
		}
	}
}
