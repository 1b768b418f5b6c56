// Package moves is the experiment on moves between versions.
//
// Each seeded move runs over eight entries on virtual time with the real
// deciders: outcomes are counted by package evidence, judged by package
// analysis at each entry on what it has heard from its peers, steered by
// package machine and divided by package split. What stands in for the rest is
// small: entries tell three random peers a second, and the store is one record
// with a lease.
//
// Badness shows when one observer, who sees all counts at once, convicts with the
// entries' own analysis.Alpha. The part of the requests that a bad version gets is counted
// until the first conviction; the requests of a route that is not bad do not
// count.
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
	// perKind is the number of moves of a kind, perCell of a cell of the grid,
	// perVariant of the good and of the bad ones
	// of a variant of faults.
	perKind    = 200
	perCell    = 25
	perVariant = 200
	// perBaseline is the number of those that the baselines run too.
	perBaseline = 60
	// variantWindow is the window of the moves under faults.
	variantWindow = 30 * time.Minute
	// lagLimit is the time from where badness shows to the last request that the
	// version may get.
	lagLimit = 3 * time.Second
)

// Experiment measures moves.
type Experiment struct{}

// Name implements report.Experiment.
func (Experiment) Name() string { return "moves" }

// About implements report.Experiment.
func (Experiment) About() string {
	return "moves to good and bad versions over 8 entries: done by the deadline or taken back, against a fixed-step canary and a cut-over"
}

// job is one move to run; group is what it is counted under.
type job struct {
	group string
	p     profile
	seed  uint64
	f     faults
	run   func(profile, uint64, faults) result
}

func ours(p profile, seed uint64, f faults) result { return newWorld(p, seed, f).run() }

func fixed(p profile, seed uint64, _ faults) result { return baseline(p, seed, fixedShare, true) }

func cutOver(p profile, seed uint64, _ faults) result {
	return baseline(p, seed, cutOverShare, false)
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

// runAll runs the jobs on all processors and returns the results by group.
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

// kindJobs are the moves of each kind, a quarter at 2 and the rest at 20 requests
// a second, and some of them under both baselines.
func kindJobs(seed uint64) []job {
	var jobs []job
	for i, k := range append([]kind{good}, badKinds[:]...) {
		for n := range perKind {
			s := seed<<32 + uint64(i)<<16 + uint64(n)
			rate := []float64{2, 20, 20, 20}[n%4]
			p := draw(rand.New(rand.NewPCG(s, 1)), k, rate)
			jobs = append(jobs, job{string(k), p, s, faults{}, ours})
			if n >= perBaseline {
				continue
			}
			jobs = append(jobs,
				job{"fixed/" + string(k), p, s, faults{}, fixed},
				job{"cut-over/" + string(k), p, s, faults{}, cutOver})
		}
	}
	return jobs
}

// cell is one cell of the grid of badness and rate.
type cell struct {
	points, factor, rate float64
}

func (c cell) name() string {
	if c.points > 0 {
		return fmt.Sprintf("grid/%g-points/%g-a-second", 100*c.points, c.rate)
	}
	return fmt.Sprintf("grid/%g-times/%g-a-second", c.factor, c.rate)
}

// held tells whether the target holds for the cell.
func (c cell) held() bool { return c.rate >= 2 && (c.points >= 0.05 || c.factor >= 1.5) }

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

// gridJobs are moves that are bad from the start.
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
			p.points = c.points
			p.factor = c.factor
			jobs = append(jobs, job{c.name(), p, s, faults{}, ours})
		}
	}
	return jobs
}

// variantJobs are good and bad moves under faults, at 20 requests a second and
// half an hour.
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
			jobs = append(jobs, job{v + "/" + group, p, s, drawFaults(rng, v, p.window), ours})
		}
	}
	return jobs
}

// tally sums the results of a group.
type tally struct {
	moves, done, takenBack, onTime int
	bad, all                       int
	late                           int
	lag                            time.Duration
	once, steps, stale             int
	// unshown counts moves whose badness never showed.
	unshown int
}

func (t *tally) add(r result) {
	t.moves++
	switch r.outcome {
	case ward.EventMoveDone:
		t.done++
	case ward.EventMoveRolledBack:
		t.takenBack++
	}
	if r.onTime && r.outcome == ward.EventMoveDone {
		t.onTime++
	}
	t.bad += r.bad
	t.all += r.all
	if r.told == 1 {
		t.once++
	}
	t.steps += r.stepsInOutage
	t.stale += r.stale
	if r.shown == 0 {
		t.unshown++
		return
	}
	if lag := r.last - r.shown; lag > t.lag {
		t.lag = lag
	}
	if r.last-r.shown > lagLimit {
		t.late++
	}
}
