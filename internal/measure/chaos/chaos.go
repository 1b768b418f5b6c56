// Package chaos kills, stops and starts entries again while callers go on, and
// counts every broken promise: real entries, stand-ins and load over loopback
// TCP in one process, on the machine's clock.
//
// A killed entry loses its listeners and connections at once and hands nothing
// back. It shares the process with the others, so what its last goroutines do
// afterwards is more like a pause than a death. A stopped entry ends as planned.
// Each comes back a moment later as a new instance under the same name.
//
// # Usage
//
//	rep, err := chaos.Experiment{}.Run(ctx, 1, progress)
//
// The seed decides the load and the order of kills and stops; when exactly they
// meet is the machine's.
package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"agateward/internal/bench/load"
	"agateward/internal/bench/mix"
	"agateward/internal/bench/rig"
	"agateward/internal/bench/tally"
	"agateward/internal/measure/report"
	"agateward/internal/platform/memory"
	"agateward/internal/standin/batch"
	"agateward/ward"

	"github.com/sourcegraph/conc"
)

const (
	entries  = 3
	engines  = 4
	services = 3
	// rate is in requests a second, length the time during which they are sent.
	rate   = 300.0
	length = 50 * time.Second
	// Between two events passes leastPause to mostPause; an entry is away for
	// leastAway to mostAway.
	leastPause = 1500 * time.Millisecond
	mostPause  = 3500 * time.Millisecond
	leastAway  = 300 * time.Millisecond
	mostAway   = 1500 * time.Millisecond
	// An outage of the store lasts leastOutage to mostOutage.
	leastOutage = 500 * time.Millisecond
	mostOutage  = 2500 * time.Millisecond
)

// calls are short and long streams, whole answers, lookups and orders, of which
// one in five is repeated with its key. Orders are one in twenty.
const calls = `{"classes": [
	{"name": "dietary", "weight": 35, "kind": "chat", "model": "menu-writer", "route": "dietary", "team": "guests", "tier": 1,
		"deadline": "20s", "stream": true, "prompt": [20, 200], "shared": 300, "output": [5, 60]},
	{"name": "menus", "weight": 15, "kind": "chat", "model": "menu-writer", "route": "menus", "team": "hosts", "tier": 2,
		"deadline": "30s", "prompt": [50, 500], "output": [5, 60]},
	{"name": "letters", "weight": 5, "kind": "completion", "model": "menu-writer", "route": "letters", "team": "letters", "tier": 4,
		"deadline": "60s", "stream": true, "prompt": [50, 500], "output": [200, 400]},
	{"name": "availability", "weight": 40, "kind": "lookup", "service": "booking", "path": "/availability", "team": "guests", "tier": 1,
		"deadline": "2s"},
	{"name": "deposits", "weight": 5, "kind": "order", "service": "booking", "path": "/deposits", "team": "guests", "tier": 1,
		"deadline": "10s", "repeat": 0.2}]}`

var profile = batch.Profile{PrefillRate: 1e6, DecodeBase: 5 * time.Millisecond, DecodePerSequence: 5 * time.Microsecond, MaxBatch: 1024}

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "chaos" }

// About says what it shows.
func (Experiment) About() string {
	return "broken promises while entries are killed, stopped and started again and the store fails, under load"
}

// run is one run of the experiment.
type run struct {
	rig    *rig.Rig
	random *rand.Rand
	tally  tally.Tally
	kills  int
	stops  int
	// outages counts the times that the store was down, slow or lost answers.
	outages int

	mu sync.Mutex
	// killed holds the targets that were killed, cut counts the answers that
	// broke off by target.
	killed map[string]bool
	cut    map[string]int
	last   map[string]string
}

// Run runs the load and the failures side by side.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(string)) (report.Report, error) {
	var rep report.Report
	m, err := mix.Parse("chaos", []byte(calls))
	if err != nil {
		return rep, err
	}
	r := &run{
		rig:    &rig.Rig{Entries: entries, Engines: engines, Services: services, Profile: profile, Latency: 5 * time.Millisecond},
		random: rand.New(rand.NewPCG(seed, 1)),
		killed: make(map[string]bool), cut: make(map[string]int), last: make(map[string]string),
	}
	if err := r.rig.Start(ctx); err != nil {
		return rep, err
	}
	defer r.rig.Close()
	g := load.Generator{
		Pick: r.rig.Pick, Mix: m, Rate: rate, Duration: length, Seed: seed, Tally: &r.tally,
		Observe: r.observe, Progress: progress,
	}
	failing, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	var failed error
	wg.Go(func() { failed = r.fail(failing, progress) })
	wg.Go(func() { r.failStore(failing, seed, progress) })
	err = g.Run(ctx)
	stop()
	wg.Wait()
	if err == nil {
		err = failed
	}
	r.add(&rep, progress)
	return rep, err
}

// observe takes note of answers that broke off.
func (r *run) observe(target string, o tally.Outcome) {
	if o.Result != tally.Broken && o.Result != tally.Cut {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[target]++
	r.last[target] = fmt.Sprintf("%s: %s (code %d)", o.Result, o.Detail, o.Code)
}

// fail kills or stops one entry after the other until ctx ends.
func (r *run) fail(ctx context.Context, progress func(string)) error {
	clock := ward.SystemClock{}
	for clock.Sleep(ctx, r.between(leastPause, mostPause)) == nil {
		i := r.random.IntN(entries)
		if r.random.IntN(2) == 0 {
			progress(fmt.Sprintf("entry %d is killed", i+1))
			r.kill(i)
		} else {
			progress(fmt.Sprintf("entry %d is stopped as planned", i+1))
			r.stops++
			r.rig.Fleet.Stop(i)
		}
		// An entry comes back also when the load has ended meanwhile.
		_ = clock.Sleep(ctx, r.between(leastAway, mostAway))
		if err := r.rig.Fleet.Restart(context.WithoutCancel(ctx), i); err != nil {
			return err
		}
	}
	return nil
}

// faults are the ways in which the store fails, one after the other and at the
// same time as entries do.
var faults = []memory.Faults{
	{Down: true},
	{Slow: ward.Duration(300 * time.Millisecond)},
	{LostAnswer: 0.5},
	{LostRequest: 0.3, LostAnswer: 0.3},
	{Hang: true},
	{LapseLeases: true, WatchLag: ward.Duration(2 * time.Second)},
}

// failStore makes the store fail now and then until ctx ends.
func (r *run) failStore(ctx context.Context, seed uint64, progress func(string)) {
	clock := ward.SystemClock{}
	random := rand.New(rand.NewPCG(seed, 2))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	for clock.Sleep(ctx, between(leastPause, mostPause)) == nil {
		f := faults[random.IntN(len(faults))]
		progress(fmt.Sprintf("the store fails: %+v", f))
		r.outages++
		r.rig.Fleet.Platform.SetFaults(f)
		_ = clock.Sleep(ctx, between(leastOutage, mostOutage))
		r.rig.Fleet.Platform.SetFaults(memory.Faults{})
	}
}

func (r *run) kill(i int) {
	r.mu.Lock()
	r.kills++
	r.killed[r.rig.Fleet.Target(i)] = true
	r.mu.Unlock()
	r.rig.Fleet.Kill(i)
}

func (r *run) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// add adds the counts. None of the promises may be broken once.
func (r *run) add(rep *report.Report, progress func(string)) {
	v := r.tally.Check(r.rig.Runs())
	for _, d := range v.Details {
		progress(d)
	}
	byKill, otherwise := 0, 0
	for target, n := range r.cut {
		if r.killed[target] {
			byKill += n
			continue
		}
		otherwise += n
		progress(fmt.Sprintf("%d answers of %s broke off without a kill, such as %s", n, target, r.last[target]))
	}
	count := func(name string, n int) report.Result {
		return report.Result{Name: name, Value: float64(n), Unit: "count"}
	}
	rep.Add(
		count("double-runs", v.DoubleRuns).AtMost(0),
		count("double-dispatches", v.DoubleDispatches).AtMost(0),
		count("not-run-that-ran", v.FalseNotRun).AtMost(0),
		count("answers-without-a-run", v.FalseAnswers).AtMost(0),
		count("wrong-answers", v.WrongAnswers).AtMost(0),
		count("cut-without-a-kill", otherwise).AtMost(0),
		count("cut-by-a-kill", byKill),
		count("kills", r.kills),
		count("planned-stops", r.stops),
		count("store-outages", r.outages),
	)
	for _, t := range r.tally.Tiers() {
		rep.Add(
			count(fmt.Sprintf("sent-tier-%d", t.Tier), t.Sent),
			report.Result{Name: fmt.Sprintf("goodput-tier-%d", t.Tier), Value: t.Goodput, Unit: "share"},
		)
	}
}
