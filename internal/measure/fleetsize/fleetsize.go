// Package fleetsize measures real entries over loopback TCP at several fleet
// sizes: the time until a ticket is in force everywhere, and the control overhead
// of each entry at rest.
//
// # Usage
//
//	rep, err := fleetsize.Experiment{}.Run(ctx, 1, progress)
//
// All entries share one process, so the CPU time of an entry is that of the
// process divided by their number.
package fleetsize

import (
	"context"
	"fmt"
	"time"

	"agateward/internal/bench/fleet"
	"agateward/internal/bench/usage"
	"agateward/internal/config/settings"
	"agateward/internal/measure/report"
	"agateward/internal/platform/memory"
	"agateward/ward"

	"github.com/go-logr/logr"
)

const (
	// settleTime is the time between the start and the first measurement, restTime
	// the time over which control at rest is measured.
	settleTime = 3 * time.Second
	restTime   = 5 * time.Second
	// tickets is the number of tickets whose propagation is measured.
	tickets = 2
)

// Targets of control at one entry and of propagation.
const (
	maxBytes   = 16 << 10 // bytes/s
	maxCore    = 0.011    // of one core
	maxMemory  = 32       // MB
	maxInForce = 5        // seconds
)

// sizes are the numbers of entries.
var sizes = []int{8, 32, 100}

// Experiment is the measurement.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "fleet-size" }

// About says what the experiment shows.
func (Experiment) About() string {
	return "time until a ticket is in force, and control bytes, memory and CPU time of real entries at 8, 32 and 100"
}

// Run measures each size in turn.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(text string)) (report.Report, error) {
	r := report.Report{Experiment: "fleet-size", Seed: seed}
	for _, n := range sizes {
		progress(fmt.Sprintf("%d entries", n))
		if err := measure(ctx, &r, n); err != nil {
			return r, err
		}
	}
	return r, nil
}

// measure adds the results of one size.
func measure(ctx context.Context, r *report.Report, n int) error {
	before := usage.ReadAfterGC()
	f, err := fleet.Start(ctx, fleet.Plan{
		Name: "size", Entries: n, DataCentres: []string{"east-1", "east-2", "east-3"}, Log: logr.Discard(),
		// Hardly any requests are recorded for explain in this experiment.
		Tune: func(s *settings.Settings) { s.Telemetry.Explain = 0 },
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := awaitReady(ctx, f); err != nil {
		return err
	}
	name := func(figure string) string { return fmt.Sprintf("%s-%d", figure, n) }
	slowest, err := propagationTime(ctx, f, false)
	if err != nil {
		return err
	}
	r.Add(report.Result{Name: name("in-force"), Value: slowest.Seconds(), Unit: "s"}.AtMost(maxInForce))
	addRest(ctx, r, f, name, before)
	slowest, err = propagationTime(ctx, f, true)
	if err != nil {
		return err
	}
	r.Add(report.Result{Name: name("in-force-store-down"), Value: slowest.Seconds(), Unit: "s"}.AtMost(maxInForce))
	return nil
}

// awaitReady waits until the entries know each other.
func awaitReady(ctx context.Context, f *fleet.Fleet) error {
	if _, err := f.Submit(ctx, ticket(1)); err != nil {
		return err
	}
	if err := f.AwaitRevision(ctx, 1); err != nil {
		return err
	}
	return ward.SystemClock{}.Sleep(ctx, settleTime)
}

// ticket returns a ticket that adds one team.
func ticket(number uint64) ward.Ticket {
	return ward.Ticket{Number: number, Operator: "measure", Teams: []ward.Team{{Name: fmt.Sprintf("team-%d", number)}}}
}

// propagationTime returns the longest time from a ticket's acceptance until it was
// in force at every entry. With storeDown the store goes down right after the
// acceptance.
func propagationTime(ctx context.Context, f *fleet.Fleet, storeDown bool) (time.Duration, error) {
	var slowest time.Duration
	for range tickets {
		revision := f.Revision(0)
		began := time.Now()
		if _, err := f.Submit(ctx, ticket(revision+1)); err != nil {
			return 0, err
		}
		f.Platform.SetFaults(memory.Faults{Down: storeDown})
		if err := f.AwaitRevision(ctx, revision+1); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(began))
		f.Platform.SetFaults(memory.Faults{})
		if err := (ward.SystemClock{}).Sleep(ctx, time.Second); err != nil {
			return 0, err
		}
	}
	return slowest, nil
}

// addRest measures an entry's control at rest.
func addRest(ctx context.Context, r *report.Report, f *fleet.Fleet, name func(string) string, before usage.Usage) {
	begin, from := usage.ReadAfterGC(), total(f)
	began := time.Now()
	_ = ward.SystemClock{}.Sleep(ctx, restTime)
	seconds := time.Since(began).Seconds()
	end, to := usage.Read(), total(f)
	n := float64(f.Size())
	const megabyte = 1 << 20
	r.Add(
		report.Result{Name: name("control-bytes"), Value: float64(to.Bytes-from.Bytes) / n / seconds, Unit: "bytes/s"}.AtMost(maxBytes),
		report.Result{Name: name("control-core"), Value: (end.CPU - begin.CPU).Seconds() / n / seconds, Unit: "core"}.AtMost(maxCore),
		report.Result{Name: name("memory"), Value: float64(begin.Memory-before.Memory) / n / megabyte, Unit: "MB"}.AtMost(maxMemory),
		report.Result{Name: name("store-calls"), Value: float64(to.StoreCalls-from.StoreCalls) / seconds, Unit: "calls/s of the fleet"},
		report.Result{Name: name("entries-known"), Value: float64(to.Live) / n, Unit: "entries"}.AtLeast(n),
	)
}

// total sums the control counters of all entries.
func total(f *fleet.Fleet) (sum struct {
	Bytes, StoreCalls uint64
	Live              int
}) {
	for i := range f.Size() {
		c := f.ControlUsage(i)
		sum.Bytes += c.Bytes
		sum.StoreCalls += c.StoreCalls
		sum.Live += c.Live
	}
	return sum
}
