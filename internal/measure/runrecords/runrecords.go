// Package runrecords measures four ways to keep idempotency records in the
// platform's store: one record a request, a journal for each entry, shards owned
// by lease, and shards that any entry writes.
//
// # Usage
//
//	r, err := runrecords.Experiment{}.Run(ctx, 1, progress)
//
// The baseline of each figure is that of one record a request. Eight entries share the store's budget of 150 writes a second for such
// records. The shared shard is the real code with the real call meter; the other
// ways are their least form: what they must write and read, in the fewest calls.
// A call takes 2 to 5 ms, a hop between entries 1 to 2 ms.
package runrecords

import (
	"context"
	"fmt"

	"agateward/internal/measure/report"
)

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns what agateward measure calls it.
func (Experiment) Name() string { return "run-records" }

// About says what it shows.
func (Experiment) About() string {
	return "store writes and added latency of four ways to keep idempotency records"
}

// rates are the non-idempotent requests a second of the whole fleet.
var rates = []int{1, 10, 100, 800}

// shardCounts are tried at the highest rate.
var shardCounts = []int{2, 4}

// fleets are larger numbers of entries, tried at 100 requests a second.
var fleets = []int{32, 410}

const (
	// writeBudget is what all entries together may write a second.
	writeBudget = 150
	// chosenShards is the number of shards that the ways are compared at.
	chosenShards = 1
	// largeRate is the rate that larger fleets are tried at.
	largeRate = 100
	// chosen is the way in use.
	chosen = "shared-shard"
	// shared is the place of the chosen way among ways.
	shared = 3
)

// Run measures each way at each rate.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(text string)) (report.Report, error) {
	r := report.Report{Experiment: "run-records", Seed: seed}
	for _, rate := range rates {
		var direct outcome
		for i, w := range ways(chosenShards) {
			if ctx.Err() != nil {
				return r, ctx.Err()
			}
			progress(fmt.Sprintf("%s at %d a second", w.name, rate))
			o := simulate(seed, today, rate, w)
			if i == 0 {
				direct = o
			}
			r.Add(o.results(fmt.Sprintf("%s-%d", w.name, rate), direct, w.name == chosen)...)
		}
	}
	for _, n := range shardCounts {
		progress(fmt.Sprintf("%d shared shards at 800 a second", n))
		o := simulate(seed, today, rates[len(rates)-1], ways(n)[shared])
		r.Add(o.results(fmt.Sprintf("%d-shared-shards-800", n), o, false)...)
	}
	for _, n := range fleets {
		for _, w := range ways(chosenShards)[shared-1:] {
			progress(fmt.Sprintf("%s with %d entries", w.name, n))
			o := simulate(seed, n, largeRate, w)
			r.Add(o.results(fmt.Sprintf("%s-%d-of-%d-entries", w.name, largeRate, n), o, w.name == chosen)...)
		}
	}
	return r, nil
}

// results returns the figures of one simulation; base is a record per request.
// The chosen way is held to the budget.
func (o outcome) results(name string, base outcome, chosen bool) []report.Result {
	writes := report.Result{Name: name + "-writes", Value: o.writes, Unit: "1/s"}.Against(base.writes)
	if chosen {
		writes = writes.AtMost(writeBudget)
	}
	return []report.Result{
		writes,
		{Name: name + "-reads", Value: o.reads, Unit: "1/s"},
		report.Result{Name: name + "-latency-p50", Value: o.p50, Unit: "ms"}.Against(base.p50),
		report.Result{Name: name + "-latency-p99", Value: o.p99, Unit: "ms"}.Against(base.p99),
		report.Result{Name: name + "-refused", Value: o.refused, Unit: "share"}.Against(base.refused),
	}
}
