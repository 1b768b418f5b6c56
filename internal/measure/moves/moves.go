// Package moves is the experiment on moves between versions.
//
// Each seeded move runs over eight entries on virtual time with the real code:
// package evidence counts outcomes, package analysis evaluates at each entry the
// counts received from peers, package machine advances the move and package split
// divides the requests. The rest is a minimal model: each entry sends to three
// random peers a second, and the store is one record with a lease.
//
// An oracle sees the counts of all entries at once. A bad version counts as shown
// to be bad when the oracle detects harm, with the same analysis.Alpha as the
// entries. The share of requests that a bad version gets is counted until the
// first entry detects harm; requests of routes on which the version is not bad
// don't count.
//
// # Usage
//
//	r, err := moves.Experiment{}.Run(ctx, 1, func(text string) { fmt.Fprintln(os.Stderr, text) })
package moves

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"agateward/internal/measure/report"
	"agateward/ward"

	"github.com/sourcegraph/conc/pool"
)

const (
	// perKind is the number of moves of a kind, perCell of a cell of the grid, and
	// perVariant of the good and of the bad moves of each variant of faults.
	perKind    = 200
	perCell    = 25
	perVariant = 200
	// perBaseline is how many moves of a kind also run under the baselines.
	perBaseline = 60
	// variantWindow is the window of the moves under faults.
	variantWindow = 30 * time.Minute
	// lagLimit is the maximum time from the oracle's detection to the last request
	// that the bad version gets.
	lagLimit = 3 * time.Second
)

// Experiment measures moves.
type Experiment struct{}

// Name implements report.Experiment.
func (Experiment) Name() string { return "moves" }

// About implements report.Experiment.
func (Experiment) About() string {
	return "moves to good and bad versions over 8 entries: done by the deadline or rolled back, compared with a fixed-step canary and a cut-over"
}

// job is one move to run. Its result is added to the tally of group.
type job struct {
	group string
	p     profile
	seed  uint64
	f     faults
	run   func(profile, uint64, faults) result
}

func runMove(p profile, seed uint64, f faults) result { return newSimulation(p, seed, f).run() }

func runFixed(p profile, seed uint64, _ faults) result { return runBaseline(p, seed, fixedShare, true) }

func runCutOver(p profile, seed uint64, _ faults) result {
	return runBaseline(p, seed, cutOverShare, false)
}

// Run implements report.Experiment.
func (x Experiment) Run(ctx context.Context, seed uint64, progress func(text string)) (report.Report, error) {
	jobs := kindJobs(seed)
	jobs = append(jobs, gridJobs(seed)...)
	jobs = append(jobs, variantJobs(seed)...)
	groups, err := runAll(ctx, jobs, progress)
	if err != nil {
		return report.Report{}, err
	}
	r := report.Report{Experiment: x.Name(), Seed: seed, Charts: charts(seed)}
	addKinds(&r, groups)
	addVariants(&r, groups)
	addGrid(&r, groups)
	return r, nil
}

// runAll runs the jobs on all CPUs and returns the results by group.
func runAll(ctx context.Context, jobs []job, progress func(text string)) (map[string]*tally, error) {
	groups := map[string]*tally{}
	var mu sync.Mutex
	done := 0
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0)).WithContext(ctx)
	for _, j := range jobs {
		workers.Go(func(ctx context.Context) error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			res := j.run(j.p, j.seed, j.f)
			mu.Lock()
			defer mu.Unlock()
			if groups[j.group] == nil {
				groups[j.group] = &tally{}
			}
			groups[j.group].add(res)
			if done++; done%(len(jobs)/10) == 0 {
				progress(fmt.Sprintf("%d of %d moves", done, len(jobs)))
			}
			return nil
		})
	}
	return groups, workers.Wait()
}

// kindJobs returns the moves of each kind, a quarter at 2 and the rest at 20
// requests a second, some of them also under both baselines.
func kindJobs(seed uint64) []job {
	var jobs []job
	for i, k := range append([]kind{good}, badKinds[:]...) {
		for n := range perKind {
			s := seed<<32 + uint64(i)<<16 + uint64(n)
			rate := []float64{2, 20, 20, 20}[n%4]
			p := draw(rand.New(rand.NewPCG(s, 1)), k, rate)
			jobs = append(jobs, job{string(k), p, s, faults{}, runMove})
			if n >= perBaseline {
				continue
			}
			jobs = append(jobs,
				job{"fixed/" + string(k), p, s, faults{}, runFixed},
				job{"cut-over/" + string(k), p, s, faults{}, runCutOver})
		}
	}
	return jobs
}

// cell is one cell of the grid of degradation and request rate.
type cell struct {
	points, factor, rate float64
}

func (c cell) name() string {
	if c.points > 0 {
		return fmt.Sprintf("grid/%g-points/%g-a-second", 100*c.points, c.rate)
	}
	return fmt.Sprintf("grid/%g-times/%g-a-second", c.factor, c.rate)
}

// hasTarget reports whether the cell has a target.
func (c cell) hasTarget() bool { return c.rate >= 2 && (c.points >= 0.05 || c.factor >= 1.5) }

func cells() []cell {
	var list []cell
	for _, rate := range []float64{0.2, 2, 20} {
		for _, points := range []float64{0.02, 0.05, 0.2, 1} {
			list = append(list, cell{points: points, factor: 1, rate: rate})
		}
		for _, factor := range []float64{1.3, 1.5, 2, 5} {
			list = append(list, cell{factor: factor, rate: rate})
		}
	}
	return list
}

// gridJobs returns moves to versions that are bad from the start.
func gridJobs(seed uint64) []job {
	var jobs []job
	for i, c := range cells() {
		for n := range perCell {
			s := seed<<32 + uint64(100+i)<<16 + uint64(n)
			k := slowAtOnce
			if c.points > 0 {
				k = failsAtOnce
			}
			p := draw(rand.New(rand.NewPCG(s, 1)), k, c.rate)
			p.addedFailures = c.points
			p.slowdown = c.factor
			jobs = append(jobs, job{c.name(), p, s, faults{}, runMove})
		}
	}
	return jobs
}

// variantJobs returns good and bad moves under faults, at 20 requests a second
// and with variantWindow.
func variantJobs(seed uint64) []job {
	var jobs []job
	for i, v := range variants {
		for n := range 2 * perVariant {
			s := seed<<32 + uint64(200+i)<<16 + uint64(n)
			rng := rand.New(rand.NewPCG(s, 1))
			k, group := good, "good"
			if n%2 == 1 {
				k, group = badKinds[rng.IntN(len(badKinds))], "bad"
			}
			p := drawIn(rng, k, 20, variantWindow)
			jobs = append(jobs, job{v + "/" + group, p, s, drawFaults(rng, v, p.window), runMove})
		}
	}
	return jobs
}

// tally sums the results of a group.
type tally struct {
	moves, done, rolledBack, onTime int
	bad, all                        int
	late                            int
	lag                             time.Duration
	notifiedOnce, steps, stale      int
	// undetected counts moves in which the oracle detected no harm.
	undetected int
}

func (t *tally) add(r result) {
	t.moves++
	switch r.outcome {
	case ward.EventMoveDone:
		t.done++
	case ward.EventMoveRolledBack:
		t.rolledBack++
	}
	if r.onTime && r.outcome == ward.EventMoveDone {
		t.onTime++
	}
	t.bad += r.bad
	t.all += r.all
	if r.notified == 1 {
		t.notifiedOnce++
	}
	t.steps += r.stepsInOutage
	t.stale += r.staleWrites
	if r.oracleDetected == 0 {
		t.undetected++
		return
	}
	if lag := r.lastBad - r.oracleDetected; lag > t.lag {
		t.lag = lag
	}
	if r.lastBad-r.oracleDetected > lagLimit {
		t.late++
	}
}
