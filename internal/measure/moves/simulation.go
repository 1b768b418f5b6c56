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
	// tickInterval is the time between two evaluations, and two exchanges, of an entry.
	tickInterval = time.Second
	// fanout is the number of peers that an entry sends to at each tick.
	fanout = 3
	// answerSlots limits the time until an answer, in ticks.
	answerSlots = 1024
	// leaseTTL is the time to live of the lease.
	leaseTTL = 15 * time.Second
)

// stepNames are the names of the steps in counts.
var stepNames = func() (names [plan.Steps + 1]string) {
	for i := range names {
		names[i] = evidence.StepName("x@2", i)
	}
	return names
}()

var epoch = time.Unix(1_000_000_000, 0)

// pendingAnswer is an answer that arrives at a later tick.
type pendingAnswer struct {
	entry, route, step int
	next               bool
	outcome            ward.Outcome
}

// totals holds the totals of both versions on a route.
type totals struct{ old, next analysis.Totals }

// arm returns the totals of one version, the new one if next.
func (p *totals) arm(next bool) *analysis.Totals {
	if next {
		return &p.next
	}
	return &p.old
}

// snapshot holds the totals of each route in each step.
type snapshot [routes][plan.Steps + 1]totals

// increment is one outcome: a success in a latency bucket, or a failure if bucket
// is -1.
type increment struct {
	route  int
	step   int
	next   bool
	bucket int
}

// samples returns the totals of a route in the step before and in the step.
func (s *snapshot) samples(route, step int) (analysis.Sample, analysis.Sample) {
	p, q := &s[route][max(step-1, 0)], &s[route][step]
	return analysis.Sample{Step: step - 1, Old: p.old, Next: p.next}, analysis.Sample{Step: step, Old: q.old, Next: q.next}
}

func (s *snapshot) add(a increment) {
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
	// own holds the entry's own counts, known these and the counts received from
	// peers. versions is the number of parts of each entry's log that known includes.
	own         snapshot
	known       snapshot
	versions    [entries]int
	quarantines quarantine.Set
	state       ward.MoveState
	analyses    [routes]analysis.Analysis
	verdicts    [routes]analysis.Verdict
	step        int
	splits      []ward.Split
	credit      [routes]float64
	inFlight    [routes]int
	// dirty is set when the own counts changed, fresh when any known counts changed.
	dirty bool
	fresh bool
	dead  bool
	// paused is the end of the entry's pause.
	paused time.Duration
	// oldOnlyUntil is the time until which the entry, after a pause, sends nothing to
	// the new version.
	oldOnlyUntil time.Duration
}

// simulation is one move from its ticket to its outcome.
type simulation struct {
	profile
	rng     *rand.Rand
	cfg     ward.Config
	entries [entries]*entry
	pending [answerSlots][]pendingAnswer
	tick    int
	store   store
	machine machine.Machine
	// oracle sees all counts at once.
	oracle     [routes]analysis.Analysis
	all        snapshot
	logs       [entries][][]increment
	result     result
	oracleStep int
	// pausedHolder is the index of the paused holder, pausedFence its fencing number
	// or 0 for none.
	pausedHolder int
	pausedFence  uint64
}

// result is the result of one move.
type result struct {
	kind    kind
	outcome ward.EventKind
	// onTime reports whether all traffic was on the new version by the deadline.
	onTime bool
	// bad counts the requests to the new version while it was bad, all those of the
	// routes on which it can be bad. Both count until an entry first detects harm.
	bad, all int
	// oracleDetected is when the oracle detected harm, firstDetected when the first
	// entry did, and lastBad the time of the last request to the bad version. 0 means
	// never.
	oracleDetected, firstDetected, lastBad time.Duration
	// notified counts the notified outcomes, stepsInOutage the steps made while the
	// store was down, and staleWrites the writes of paused holders that took effect.
	notified, stepsInOutage, staleWrites int
}

func (w *simulation) now() time.Time    { return epoch.Add(w.at()) }
func (w *simulation) at() time.Duration { return time.Duration(w.tick) * tickInterval }

func newSimulation(p profile, seed uint64, f faults) *simulation {
	w := &simulation{profile: p, rng: rand.New(rand.NewPCG(seed, 7))}
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

// drained reports whether no live entry sends requests to the new version.
func (w *simulation) drained() bool {
	for _, e := range w.entries {
		if !e.dead && e.splits[0].Share > 0 {
			return false
		}
	}
	return true
}

// send has the requests of one tick arrive at random live entries.
func (w *simulation) send() {
	live := w.live()
	for r := range routes {
		for range poisson(w.rng, w.rate*tickInterval.Seconds()) {
			i := live[w.rng.IntN(len(live))]
			w.dispatch(i, r)
		}
	}
}

func (w *simulation) dispatch(i, r int) {
	e := w.entries[i]
	s := e.splits[r]
	if w.at() < e.oldOnlyUntil {
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
	w.countRequest(r, bad)
	prompt, output, total, ok := w.answer(w.rng, w.at(), bad)
	o := ward.Outcome{OK: ok, Connected: true, PromptTokens: prompt, OutputTokens: output, Total: total, At: w.now().Add(total)}
	if next {
		e.inFlight[r]++
	}
	slot := (w.tick + 1 + int(min(total/tickInterval, answerSlots-2))) % answerSlots
	w.pending[slot] = append(w.pending[slot], pendingAnswer{i, r, e.state.Step, next, o})
}

// countRequest counts a request towards the share that a bad version gets.
func (w *simulation) countRequest(r int, bad bool) {
	if w.route >= 0 && w.route != r {
		return
	}
	if bad {
		w.result.lastBad = w.at()
	}
	if w.result.firstDetected > 0 {
		return
	}
	w.result.all++
	if bad {
		w.result.bad++
	}
}

// complete delivers the answers of this tick to their entries.
func (w *simulation) complete() {
	slot := w.tick % answerSlots
	for _, a := range w.pending[slot] {
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
	w.pending[slot] = w.pending[slot][:0]
}

// refresh recomputes the splits of an entry.
func (w *simulation) refresh(i int) {
	e := w.entries[i]
	e.splits = split.Splits(&w.cfg, []ward.MoveState{e.state}, e.quarantines.List(), split.Fleet{Entries: entries, Index: i})
}

func (w *simulation) live() []int {
	var list []int
	for i, e := range w.entries {
		if !e.dead && w.at() >= e.paused {
			list = append(list, i)
		}
	}
	return list
}

// countOutcomes counts the outcomes among the events that a holder notifies
// operators of.
func (w *simulation) countOutcomes(events []ward.Event) {
	for _, e := range events {
		if strings.HasSuffix(e.ID, "/outcome") {
			w.result.notified++
			w.result.outcome = e.Kind
		}
	}
}
