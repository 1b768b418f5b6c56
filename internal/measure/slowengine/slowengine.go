// Package slowengine measures the top tier's goodput when one engine of ten
// becomes five times slower while load reports are five seconds old.
//
// # Usage
//
//	rep, err := slowengine.Experiment{}.Run(ctx, 1, progress)
package slowengine

import (
	"context"
	"time"

	"agateward/internal/measure/report"
	"agateward/internal/measure/requestsim"
)

const (
	reportAge = 5 * time.Second
	warmUp    = 20 * time.Second
	faultAt   = 20 * time.Second // after the warm-up
)

// Experiment is the measurement. Its zero value is ready to use.
type Experiment struct{}

// Name returns the experiment's name.
func (Experiment) Name() string { return "slow-engine" }

// About says what it shows.
func (Experiment) About() string {
	return "the top tier's goodput when one engine of ten slows fivefold and reports are 5 s old"
}

// Run measures it below the capacity, above it, and with an entry killed in a
// burst at the same time.
func (Experiment) Run(ctx context.Context, seed uint64, progress func(string)) (report.Report, error) {
	rep := report.Report{Experiment: "slow-engine", Seed: seed}
	s := requestsim.Setup{
		Seed: seed, Engines: requestsim.Engines(10, reportAge),
		WarmUp: warmUp, Length: 50 * time.Second, Drain: 30 * time.Second, SlowAt: warmUp + faultAt,
	}
	s.Load = 0.8
	if err := requestsim.AddFall(ctx, &rep, "load-0.8", s, faultAt, progress); err != nil {
		return rep, err
	}
	s.Load = 1.5
	if err := requestsim.AddFall(ctx, &rep, "load-1.5", s, faultAt, progress); err != nil {
		return rep, err
	}
	s.Load = 0.8
	s.Burst = 2
	s.BurstFrom = warmUp + faultAt - 3*time.Second
	s.BurstTo = s.BurstFrom + 10*time.Second
	s.KillAt = warmUp + faultAt
	return rep, requestsim.AddFall(ctx, &rep, "burst-and-kill", s, faultAt, progress)
}
