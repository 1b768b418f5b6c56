// Package capacity is the experiment that extrapolates the cost of each role to
// the fleet size expected in two years, and generates the tables of
// docs/CAPACITY.md.
//
// # Usage
//
//	rep, err := capacity.Experiment{}.Run(ctx, 1, progress)
//	fmt.Print(rep.Page)
package capacity

import (
	"context"
	"strings"

	"agateward/internal/bench/capacity"
	"agateward/internal/measure/report"
)

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "capacity" }

// About says what it shows.
func (Experiment) About() string {
	return "cost of each role at 410 nodes and 750 replicas, extrapolated from measured slopes"
}

// Run measures all roles.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(string)) (report.Report, error) {
	var rep report.Report
	c := capacity.Capacity{Seed: seed, Progress: progress}
	if err := c.Measure(ctx); err != nil {
		return rep, err
	}
	for _, r := range c.Roles {
		add(&rep, r)
	}
	sum := c.Control()
	rep.Add(
		report.Result{Name: "control-cpu", Value: sum.CPU, Unit: "core"}.AtMost(capacity.LimitCPU),
		report.Result{Name: "control-memory", Value: sum.Memory, Unit: "B"}.AtMost(capacity.LimitMemory),
		report.Result{Name: "control-bytes", Value: sum.Bytes, Unit: "B/s"}.AtMost(capacity.LimitBytes),
		report.Result{Name: "store-writes", Value: sum.Writes, Unit: "calls/s"}.AtMost(capacity.LimitWrites),
		report.Result{Name: "store-reads", Value: sum.Reads, Unit: "calls/s"}.AtMost(capacity.LimitReads),
		report.Result{Name: "change-in-force", Value: c.InForce(), Unit: "s"}.AtMost(capacity.InForce.Seconds()),
	)
	rep.Page = c.Markdown()
	return rep, nil
}

// add adds the nonzero results of a role.
func add(rep *report.Report, r capacity.Role) {
	name := strings.NewReplacer(": ", "-", " ", "-").Replace(r.Name)
	for _, x := range []report.Result{
		{Name: name + "-cpu", Value: r.CPU, Unit: "core"},
		{Name: name + "-memory", Value: r.Memory, Unit: "B"},
		{Name: name + "-bytes", Value: r.Bytes, Unit: "B/s"},
		{Name: name + "-store-reads", Value: r.Reads, Unit: "calls/s"},
		{Name: name + "-store-writes", Value: r.Writes, Unit: "calls/s"},
	} {
		if x.Value != 0 {
			rep.Add(x)
		}
	}
}
