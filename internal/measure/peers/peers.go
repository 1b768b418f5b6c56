// Package peers measures the cost of the exchanges between entries, and how fast
// changes propagate, at several fleet sizes.
//
// # Usage
//
//	rep, err := peers.Experiment{}.Run(ctx, 1, progress)
//
// The real membership code of the entries runs on virtual time over a simulated
// network with 1 to 21 ms of delay and 1% loss. Each entry has demand on 16
// upstreams that changes every second, and counts of two versions in a move.
// Every message is encoded and decoded by the real codec; its bytes, with the
// headers of net/rpc and TCP, count at both ends. CPU time is that of the process,
// so it includes the simulated network; the cost of an exchange over net/rpc on
// loopback is measured separately and added at the observed rate.
//
// Baselines in the same run: every entry sends its state to every other once a
// second (full mesh), and every entry sends the states of all entries to four
// others a second (full table).
package peers

import (
	"context"
	"fmt"
	"time"

	"agateward/internal/measure/report"
)

// Targets.
const (
	maxBytes          = 16 << 10 // a second, at any size
	maxCPU            = 0.011    // of one core
	maxQuarantineTime = 3        // seconds
	maxRevisionTime   = 5        // seconds
)

// sizes are the numbers of entries.
var sizes = []int{8, 32, 100, 410}

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "peers" }

// About says what it shows.
func (Experiment) About() string {
	return "bytes and CPU of exchanges, and the propagation time of a quarantine and a revision, at 8 to 410 entries"
}

// Run measures all sizes.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(string)) (report.Report, error) {
	rep := report.Report{Experiment: "peers", Seed: seed}
	perExchange, err := exchangeCPU(ctx)
	if err != nil {
		return rep, err
	}
	rep.Add(report.Result{Name: "exchange-cpu", Value: perExchange.Seconds() * 1e6, Unit: "us"})
	figures := make([]sizeResult, 0, len(sizes))
	for _, n := range sizes {
		f, err := run(ctx, n, seed)
		if err != nil {
			return rep, err
		}
		f.cpu += perExchange.Seconds() * f.exchanges
		figures = append(figures, f)
		add(&rep, f)
		progress(fmt.Sprintf("%d entries: %.0f B/s an entry", n, f.bytes))
	}
	first, last := figures[0], figures[len(figures)-1]
	rep.Add(
		report.Result{Name: "bytes-growth", Value: last.bytes / first.bytes, Unit: "ratio"}.WithBaseline(last.mesh.bytes/first.mesh.bytes),
		report.Result{Name: "cpu-growth", Value: last.cpu / first.cpu, Unit: "ratio"}.WithBaseline(last.mesh.cpu/first.mesh.cpu),
	)
	return rep, nil
}

// add adds the results of one size.
func add(rep *report.Report, f sizeResult) {
	at := fmt.Sprintf("entries-%d-", f.entries)
	best := f.mesh
	if f.table.bytes < best.bytes {
		best = f.table
	}
	seconds := func(name string, d time.Duration) report.Result {
		return report.Result{Name: at + name, Value: d.Seconds(), Unit: "s"}
	}
	rep.Add(
		report.Result{Name: at + "bytes-mean", Value: f.bytes, Unit: "B/s"}.WithBaseline(best.bytes).AtMost(maxBytes),
		report.Result{Name: at + "bytes-busiest", Value: f.busiest, Unit: "B/s"}.WithBaseline(best.bytes).AtMost(maxBytes),
		report.Result{Name: at + "cpu", Value: f.cpu, Unit: "core"}.WithBaseline(best.cpu).AtMost(maxCPU),
		seconds("brake", f.quarantine).AtMost(maxQuarantineTime),
		seconds("revision", f.revision).AtMost(maxRevisionTime),
		seconds("revision-new-instance", f.revisionNew).AtMost(maxRevisionTime),
		seconds("floor", f.floor),
		seconds("state-age-mean", f.age),
		seconds("counts-age-mean", f.countsAge),
		report.Result{Name: at + "counts-known", Value: f.countsKnown, Unit: "share"},
	)
	if f.known > 0 {
		rep.Add(
			report.Result{Name: at + "bytes-start", Value: f.start, Unit: "B/s"}.AtMost(maxBytes),
			seconds("known-after-start", f.known),
		)
	}
}
