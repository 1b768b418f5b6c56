// Package relay measures the overhead of an entry: the same load is sent through
// an entry and directly to the stand-in engines, in one process over loopback
// TCP.
//
// The generator, the engines and the entry share the process, so the entry's CPU
// time is the difference between the two runs. The runs alternate, and the
// median of each kind is reported. The results depend on the host and its
// other load.
//
// # Usage
//
//	rep, err := relay.Experiment{}.Run(ctx, 1, progress)
package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"agateward/internal/bench/hop"
	"agateward/internal/bench/load"
	"agateward/internal/bench/rig"
	"agateward/internal/bench/tally"
	"agateward/internal/bench/usage"
	"agateward/internal/measure/report"
)

const (
	// rounds is the number of runs of each kind.
	rounds = 3
	// rate is in requests a second, length the time of one run.
	rate = 150.0
	// tokens is the output length of a request, longTokens that of a request that
	// stays open while memory is measured.
	tokens     = 100
	longTokens = 2000
	length     = 4 * time.Second
	// streams is the number of streams open at once when memory is measured.
	streams = 400
	// streamSettle is the time by which all of them are open.
	streamSettle = 2 * time.Second
)

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "relay" }

// About says what it shows.
func (Experiment) About() string {
	return "added latency, CPU time and memory of an entry compared with load sent directly to the engines"
}

// Run alternates runs of both kinds.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(string)) (report.Report, error) {
	var rep report.Report
	r := &rig.Rig{Entries: 1, Engines: hop.Engines, Services: 1, Profile: hop.Profile}
	if err := r.Start(ctx); err != nil {
		return rep, err
	}
	defer r.Close()
	var direct, through []hop.Run
	for i := range rounds {
		a, b, err := hop.Load{Tokens: tokens, Rate: rate, Length: length}.Compare(ctx, r, seed+uint64(i))
		if err != nil {
			return rep, err
		}
		direct = append(direct, a)
		through = append(through, b)
		progress(fmt.Sprintf("round %d of %d done", i+1, rounds))
	}
	add(&rep, direct, through)
	return rep, addMemory(ctx, &rep, r, seed, progress)
}

// median returns the median of a value over the rounds.
func median(runs []hop.Run, value func(hop.Run) float64) float64 {
	var all []float64
	for _, r := range runs {
		all = append(all, value(r))
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// add adds the results, each with that of the direct runs as its baseline.
func add(rep *report.Report, direct, through []hop.Run) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	figure := func(name, unit string, value func(hop.Run) float64) float64 {
		a, b := median(direct, value), median(through, value)
		rep.Add(report.Result{Name: name, Value: b, Unit: unit}.WithBaseline(a))
		return b - a
	}
	first := figure("first-token-p50", "ms", func(r hop.Run) float64 { return ms(r.Tier.FirstToken.P50) })
	figure("first-token-p95", "ms", func(r hop.Run) float64 { return ms(r.Tier.FirstToken.P95) })
	between := figure("between-tokens-p50", "ms", func(r hop.Run) float64 { return ms(r.Tier.Between.P50) })
	figure("between-tokens-p95", "ms", func(r hop.Run) float64 { return ms(r.Tier.Between.P95) })
	request := figure("cpu-per-request", "ms", func(r hop.Run) float64 { return ms(r.CPU) / float64(r.Requests) })
	rep.Add(
		report.Result{Name: "added-first-token-p50", Value: first, Unit: "ms"},
		report.Result{Name: "added-between-tokens-p50", Value: between, Unit: "ms"},
		report.Result{Name: "added-cpu-per-request", Value: request, Unit: "ms"},
		report.Result{Name: "added-cpu-per-1000-tokens", Value: request * 1000 / perRequest(through), Unit: "ms"},
	)
}

func perRequest(runs []hop.Run) float64 { return float64(runs[0].Tokens) / float64(runs[0].Requests) }

// addMemory opens streams both ways and adds the memory of an open stream.
func addMemory(ctx context.Context, rep *report.Report, r *rig.Rig, seed uint64, progress func(string)) error {
	a, err := memory(ctx, hop.Direct(r), seed)
	if err != nil {
		return err
	}
	b, err := memory(ctx, r.Pick, seed)
	if err != nil {
		return err
	}
	progress("memory of open streams measured")
	rep.Add(report.Result{Name: "memory-per-open-stream", Value: b, Unit: "KB"}.WithBaseline(a))
	rep.Add(report.Result{Name: "added-memory-per-open-stream", Value: b - a, Unit: "KB"})
	return nil
}

// memory returns the memory in use per open stream, in KiB.
func memory(ctx context.Context, pick func(*rand.Rand) string, seed uint64) (float64, error) {
	m, err := hop.Load{Tokens: longTokens}.Mix()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := usage.ReadAfterGC().Memory
	ended := make(chan error, 1)
	go func() {
		g := load.Generator{Pick: pick, Mix: m, Rate: streams / streamSettle.Seconds() * 2, Duration: streamSettle / 2, Seed: seed, Tally: &tally.Tally{}}
		ended <- g.Run(ctx)
	}()
	time.Sleep(streamSettle)
	after := usage.ReadAfterGC().Memory
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		return 0, err
	}
	return float64(after-before) / 1024 / streams, nil
}
