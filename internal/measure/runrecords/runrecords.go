// Package runrecords compares four strategies for storing idempotency records in
// the platform's store: one record per request, a journal per entry, shards owned
// by lease, and shards that any entry writes.
//
// # Usage
//
//	r, err := runrecords.Experiment{}.Run(ctx, 1, progress)
//
// The baseline of each result is one record per request. Eight entries share the
// store's budget of 150 writes a second for such records. The shared shard is the
// real code with the real call meter; the others are minimal models that make the
// necessary reads and writes in the fewest calls. A call takes 2 to 5 ms, a hop
// between entries 1 to 2 ms.
package runrecords

import (
	"context"
	"fmt"

	"agateward/internal/measure/report"
)

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "run-records" }

// About says what it shows.
func (Experiment) About() string {
	return "store writes and added latency of four strategies for storing idempotency records"
}

// rates are in non-idempotent requests a second of the whole fleet.
var rates = []int{1, 10, 100, 800}

// shardCounts are the further numbers of shared shards, measured at the highest
// rate.
var shardCounts = []int{2, 4}

// largeFleets are the larger numbers of entries, measured at largeRate.
var largeFleets = []int{32, 410}

const (
	// writeBudget is the store's limit of writes a second for all entries together.
	writeBudget = 150
	// chosenShards is the number of shards in the comparison.
	chosenShards = 1
	// largeRate is the request rate at which larger fleets are measured, a second.
	largeRate = 100
	// chosenStrategy is the strategy that entries use.
	chosenStrategy = "shared-shard"
	// sharedIndex is the index of the chosen strategy in strategies.
	sharedIndex = 3
)

// Run measures each strategy at each rate.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(text string)) (report.Report, error) {
	r := report.Report{Experiment: "run-records", Seed: seed}
	for _, rate := range rates {
		var direct outcome
		for i, w := range strategies(chosenShards) {
			if ctx.Err() != nil {
				return r, ctx.Err()
			}
			progress(fmt.Sprintf("%s at %d a second", w.name, rate))
			o := simulate(seed, currentEntries, rate, w)
			if i == 0 {
				direct = o
			}
			r.Add(o.results(fmt.Sprintf("%s-%d", w.name, rate), direct, w.name == chosenStrategy)...)
		}
	}
	for _, n := range shardCounts {
		progress(fmt.Sprintf("%d shared shards at 800 a second", n))
		o := simulate(seed, currentEntries, rates[len(rates)-1], strategies(n)[sharedIndex])
		r.Add(o.results(fmt.Sprintf("%d-shared-shards-800", n), o, false)...)
	}
	for _, n := range largeFleets {
		for _, w := range strategies(chosenShards)[sharedIndex-1:] {
			progress(fmt.Sprintf("%s with %d entries", w.name, n))
			o := simulate(seed, n, largeRate, w)
			r.Add(o.results(fmt.Sprintf("%s-%d-of-%d-entries", w.name, largeRate, n), o, w.name == chosenStrategy)...)
		}
	}
	return r, nil
}

// results returns the results of one simulation; base is the outcome of one
// record per request. The chosen strategy has the write budget as a target.
func (o outcome) results(name string, base outcome, chosen bool) []report.Result {
	writes := report.Result{Name: name + "-writes", Value: o.writes, Unit: "1/s"}.WithBaseline(base.writes)
	if chosen {
		writes = writes.AtMost(writeBudget)
	}
	return []report.Result{
		writes,
		{Name: name + "-reads", Value: o.reads, Unit: "1/s"},
		report.Result{Name: name + "-latency-p50", Value: o.p50, Unit: "ms"}.WithBaseline(base.p50),
		report.Result{Name: name + "-latency-p99", Value: o.p99, Unit: "ms"}.WithBaseline(base.p99),
		report.Result{Name: name + "-refused", Value: o.refused, Unit: "share"}.WithBaseline(base.refused),
	}
}
