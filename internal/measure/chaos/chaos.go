// Package chaos kills, stops and restarts entries under load, makes the store
// fail, and counts violated guarantees. Real entries, stand-in upstreams and the
// load generator run in one process over loopback TCP, on the system clock.
//
// A killed entry loses its listeners and connections at once and releases nothing.
// It shares the process with the others, so its last goroutines may still run
// afterwards: the kill resembles a pause more than a crash. A stopped entry shuts
// down as planned. Each restarts shortly after as a new instance under the same
// name.
//
// # Usage
//
//	rep, err := chaos.Experiment{}.Run(ctx, 1, progress)
//
// The seed determines the load and the order of kills and stops. Their exact
// timing relative to the load differs between runs.
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
	// Bounds of the time between two faults, and of the time until an entry that
	// was killed or stopped restarts.
	minPause    = 1500 * time.Millisecond
	maxPause    = 3500 * time.Millisecond
	minDowntime = 300 * time.Millisecond
	maxDowntime = 1500 * time.Millisecond
	// Bounds of the duration of a store outage.
	minOutage = 500 * time.Millisecond
	maxOutage = 2500 * time.Millisecond
)

// trafficMix consists of short and long streams, answers in one piece, lookups and
// orders. One request in twenty is an order, and one order in five is repeated
// with its idempotency key.
const trafficMix = `{"classes": [
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
	return "violated guarantees while entries are killed, stopped and restarted and the store fails, under load"
}

// run is one run of the experiment.
type run struct {
	rig    *rig.Rig
	random *rand.Rand
	tally  tally.Tally
	kills  int
	stops  int
	// outages counts the store faults of any kind in faults.
	outages int

	mu sync.Mutex
	// killed holds the targets that were killed. cut counts the answers that broke
	// off, by target, and lastCut describes the last of them.
	killed  map[string]bool
	cut     map[string]int
	lastCut map[string]string
}

// Run runs the load and the faults concurrently.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(string)) (report.Report, error) {
	var rep report.Report
	m, err := mix.Parse("chaos", []byte(trafficMix))
	if err != nil {
		return rep, err
	}
	r := &run{
		rig:    &rig.Rig{Entries: entries, Engines: engines, Services: services, Profile: profile, Latency: 5 * time.Millisecond},
		random: rand.New(rand.NewPCG(seed, 1)),
		killed: make(map[string]bool), cut: make(map[string]int), lastCut: make(map[string]string),
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
	wg.Go(func() { failed = r.failEntries(failing, progress) })
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

// observe records answers that broke off.
func (r *run) observe(target string, o tally.Outcome) {
	if o.Result != tally.Broken && o.Result != tally.Cut {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[target]++
	r.lastCut[target] = fmt.Sprintf("%s: %s (code %d)", o.Result, o.Detail, o.Code)
}

// failEntries kills or stops one entry at a time, and restarts it, until ctx ends.
func (r *run) failEntries(ctx context.Context, progress func(string)) error {
	clock := ward.SystemClock{}
	for clock.Sleep(ctx, r.between(minPause, maxPause)) == nil {
		i := r.random.IntN(entries)
		if r.random.IntN(2) == 0 {
			progress(fmt.Sprintf("entry %d is killed", i+1))
			r.kill(i)
		} else {
			progress(fmt.Sprintf("entry %d is stopped as planned", i+1))
			r.stops++
			r.rig.Fleet.Stop(i)
		}
		// Restart the entry even if the load has ended meanwhile.
		_ = clock.Sleep(ctx, r.between(minDowntime, maxDowntime))
		if err := r.rig.Fleet.Restart(context.WithoutCancel(ctx), i); err != nil {
			return err
		}
	}
	return nil
}

// faults are the store faults, injected one at a time while entries fail too.
var faults = []memory.Faults{
	{Down: true},
	{Slow: ward.Duration(300 * time.Millisecond)},
	{LostAnswer: 0.5},
	{LostRequest: 0.3, LostAnswer: 0.3},
	{Hang: true},
	{LapseLeases: true, WatchLag: ward.Duration(2 * time.Second)},
}

// failStore injects store faults at random intervals until ctx ends.
func (r *run) failStore(ctx context.Context, seed uint64, progress func(string)) {
	clock := ward.SystemClock{}
	random := rand.New(rand.NewPCG(seed, 2))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	for clock.Sleep(ctx, between(minPause, maxPause)) == nil {
		f := faults[random.IntN(len(faults))]
		progress(fmt.Sprintf("the store fails: %+v", f))
		r.outages++
		r.rig.Fleet.Platform.SetFaults(f)
		_ = clock.Sleep(ctx, between(minOutage, maxOutage))
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

// add adds the counts. The target of each violation is zero.
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
		progress(fmt.Sprintf("%d answers of %s broke off without a kill, such as %s", n, target, r.lastCut[target]))
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
