// Package entrycrash measures the top tier's goodput when one entry of eight is
// killed during a burst of twice the capacity.
//
// # Usage
//
//	rep, err := entrycrash.Experiment{}.Run(ctx, 1, progress)
package entrycrash

import (
	"context"
	"time"

	"agateward/internal/measure/report"
	"agateward/internal/measure/requestsim"
)

const (
	warmUp  = 20 * time.Second
	faultAt = 25 * time.Second // after the warm-up
	burst   = 10 * time.Second
)

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "entry-crash" }

// About says what it shows.
func (Experiment) About() string {
	return "the top tier's goodput when one entry of eight is killed in a burst; callers repeat once"
}

// Run measures it with load reports one and five seconds old.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(string)) (report.Report, error) {
	rep := report.Report{Experiment: "entry-crash", Seed: seed}
	for _, c := range []struct {
		name string
		lag  time.Duration
	}{{"reports-1s", time.Second}, {"reports-5s", 5 * time.Second}} {
		s := requestsim.Setup{
			Seed: seed, Engines: requestsim.Engines(10, c.lag), Load: 0.8, Burst: 2,
			BurstFrom: warmUp + faultAt - 3*time.Second, BurstTo: warmUp + faultAt - 3*time.Second + burst,
			WarmUp: warmUp, Length: 50 * time.Second, Drain: 30 * time.Second, KillAt: warmUp + faultAt,
		}
		if err := requestsim.AddFall(ctx, &rep, c.name, s, faultAt, progress); err != nil {
			return rep, err
		}
	}
	return rep, nil
}
