// Package requestsim simulates the request path of a whole fleet on virtual time:
// the real schedulers of several entries, or a baseline in their place, with
// stand-in engines. The experiments on the request path share it.
//
// # Usage
//
//	res, err := requestsim.Run(ctx, requestsim.Setup{Policy: requestsim.Agateward, Seed: 1, Load: 2})
//	fmt.Println(res.Tiers[0].Goodput())
//
// The same seed gives every policy the same requests at the same times. A
// request is good when its first and its last token arrived in time. Callers
// cancel their request at its deadline, which also cancels the engine's work,
// under the baselines too.
package requestsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"agateward/internal/standin/batch"
)

// Policy is the name of a load-balancing policy.
type Policy string

// Policies. Oracle has a perfect view of the whole fleet and knows output
// lengths. The baselines dispatch every request at once.
const (
	Agateward        Policy = "agateward"
	RoundRobin       Policy = "round-robin"
	LeastOutstanding Policy = "least-outstanding"
	JoinShortest     Policy = "join-shortest"
	Oracle           Policy = "oracle"
)

// Baselines are the policies that Agateward is compared with.
var Baselines = []Policy{RoundRobin, LeastOutstanding, JoinShortest}

const (
	model   = "m"
	version = "v1"
	// oneWay is the delay between an entry and an engine.
	oneWay = time.Millisecond
)

// Setup configures one run.
type Setup struct {
	Policy  Policy
	Seed    uint64
	Entries int
	// Engines are the profiles of the engines; nil means ten, with load reports one
	// second old.
	Engines []batch.Profile
	// Load is the offered load as a multiple of the capacity, and Burst the load
	// from BurstFrom to BurstTo.
	Load      float64
	Burst     float64
	BurstFrom time.Duration
	BurstTo   time.Duration
	// Requests that arrive during WarmUp are not counted, those during Length after
	// it are. Drain is the time after Length in which requests can end.
	WarmUp, Length, Drain time.Duration
	// Engine 0 becomes five times slower at SlowAt, and entry 0 is killed at
	// KillAt, both from the start. Zero means never.
	SlowAt time.Duration
	KillAt time.Duration
}

// SlowFactor is the speed of a slow engine relative to its normal speed.
const SlowFactor = 0.2

// Engines returns n profiles of three hardware generations, the fastest twice as
// fast as the slowest, with load reports of age lag.
func Engines(n int, lag time.Duration) []batch.Profile {
	speeds := []float64{0.7, 1, 1.4}
	out := make([]batch.Profile, n)
	for i := range out {
		f := speeds[i%len(speeds)]
		out[i] = batch.Profile{
			Name: fmt.Sprintf("engine-%d", i), Version: version, Generation: i%len(speeds) + 1,
			PrefillRate:       20_000 * f,
			DecodeBase:        time.Duration(float64(12*time.Millisecond) / f),
			DecodePerSequence: time.Duration(float64(150*time.Microsecond) / f),
			MaxBatch:          128, Chunk: 512, CacheTokens: 400_000,
			ReportLag: lag, Seed: uint64(i),
		}
	}
	return out
}

// balancer makes the decisions of all entries of a run.
type balancer interface {
	arrive(j *job)
	firstToken(j *job)
	end(j *job, ok bool)
	// cancel is called when an unfinished request reaches its deadline.
	cancel(j *job)
	kill(entry int)
	// entryKilled is called for each unfinished request of a killed entry.
	entryKilled(j *job)
}

// engine is a stand-in engine and the time of its next wake-up.
type engine struct {
	*batch.Engine
	index    int
	profile  batch.Profile
	nextWake time.Time
}

// simulation is the state of a run.
type simulation struct {
	loop
	setup    Setup
	rng      *rand.Rand
	start    time.Time
	engines  []*engine
	jobs     map[string]*job
	all      []*job
	dead     map[int]bool
	balancer balancer
}

// Run runs one setup.
func Run(ctx context.Context, s Setup) (Result, error) {
	w := newSimulation(s)
	w.arrivals()
	w.faults()
	end := w.start.Add(s.WarmUp + s.Length + s.Drain)
	var before batch.Stats
	w.at(w.start.Add(s.WarmUp), func() { before = w.stats() })
	for n := 0; w.step(end); n++ {
		if n%4096 == 0 && ctx.Err() != nil {
			return Result{}, ctx.Err()
		}
	}
	return w.result(before), nil
}

func newSimulation(s Setup) *simulation {
	if s.Entries == 0 {
		s.Entries = 8
	}
	if s.Engines == nil {
		s.Engines = Engines(10, time.Second)
	}
	w := &simulation{setup: s, start: time.Unix(1_700_000_000, 0), jobs: make(map[string]*job), dead: make(map[int]bool)}
	w.now = w.start
	w.rng = rand.New(rand.NewPCG(s.Seed, 2))
	for i, p := range s.Engines {
		w.engines = append(w.engines, &engine{Engine: batch.New(p), index: i, profile: p})
	}
	switch s.Policy {
	case Agateward:
		w.balancer = newFleet(w)
	case Oracle:
		w.balancer = &oracle{w: w}
	default:
		w.balancer = newBaseline(w)
	}
	return w
}
