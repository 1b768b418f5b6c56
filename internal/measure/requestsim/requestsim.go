// Package requestsim runs the request path of a whole fleet on virtual time: the
// real schedulers of several entries, or a baseline in their place, against
// stand-in engines. The experiments of the request path share it.
//
// # Usage
//
//	res, err := requestsim.Run(ctx, requestsim.Setup{Policy: requestsim.Agateward, Seed: 1, Load: 2})
//	fmt.Println(res.Tiers[0].Goodput())
//
// The same seed gives every policy the same requests at the same times. A
// request is good when its first token and its last came in time. Callers leave
// at their deadline, and the engine's work for them is then cancelled, also
// under the baselines.
package requestsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"agateward/internal/standin/batch"
)

// Policy names what decides in a run.
type Policy string

// Policies. Oracle has a perfect view of the whole fleet and knows output
// lengths; the baselines hand every request over at once.
const (
	Agateward        Policy = "agateward"
	RoundRobin       Policy = "round-robin"
	LeastOutstanding Policy = "least-outstanding"
	JoinShortest     Policy = "join-shortest"
	Oracle           Policy = "oracle"
)

// Baselines are the policies that are compared with.
var Baselines = []Policy{RoundRobin, LeastOutstanding, JoinShortest}

const (
	model   = "m"
	version = "v1"
	// oneWay is the delay between an entry and an engine.
	oneWay = time.Millisecond
)

// Setup is one run.
type Setup struct {
	Policy  Policy
	Seed    uint64
	Entries int
	// Engines are the profiles; nil means Engines(10).
	Engines []batch.Profile
	// Load is the offered load as a multiple of the capacity, Burst the load
	// from BurstFrom to BurstTo.
	Load      float64
	Burst     float64
	BurstFrom time.Duration
	BurstTo   time.Duration
	// Warm is not counted; Length is counted after it, and Rest lets requests
	// end.
	Warm, Length, Rest time.Duration
	// Slow makes engine 0 five times slower at SlowAt; Kill ends entry 0 at
	// KillAt. Zero means never. Both are from the start.
	SlowAt time.Duration
	KillAt time.Duration
}

// SlowFactor is the part of its speed that a slow engine keeps.
const SlowFactor = 0.2

// Engines returns n profiles of three hardware generations, the fastest twice
// as fast as the slowest.
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

// front decides for all entries of a run.
type front interface {
	arrive(j *job)
	firstToken(j *job)
	end(j *job, ok bool)
	// leave is called when the caller of an unfinished request leaves.
	leave(j *job)
	kill(entry int)
	// lost is called for each unfinished request of a killed entry.
	lost(j *job)
}

// engine is one stand-in engine and when it is woken next.
type engine struct {
	*batch.Engine
	index   int
	profile batch.Profile
	wake    time.Time
}

// world is the state of a run.
type world struct {
	loop
	setup   Setup
	rng     *rand.Rand
	start   time.Time
	engines []*engine
	jobs    map[string]*job
	all     []*job
	dead    map[int]bool
	front   front
}

// Run runs one setup.
func Run(ctx context.Context, s Setup) (Result, error) {
	w := newWorld(s)
	w.arrivals()
	w.faults()
	end := w.start.Add(s.Warm + s.Length + s.Rest)
	var before batch.Stats
	w.at(w.start.Add(s.Warm), func() { before = w.stats() })
	for n := 0; w.step(end); n++ {
		if n%4096 == 0 && ctx.Err() != nil {
			return Result{}, ctx.Err()
		}
	}
	return w.result(before), nil
}

func newWorld(s Setup) *world {
	if s.Entries == 0 {
		s.Entries = 8
	}
	if s.Engines == nil {
		s.Engines = Engines(10, time.Second)
	}
	w := &world{setup: s, start: time.Unix(1_700_000_000, 0), jobs: make(map[string]*job), dead: make(map[int]bool)}
	w.now = w.start
	w.rng = rand.New(rand.NewPCG(s.Seed, 2))
	for i, p := range s.Engines {
		w.engines = append(w.engines, &engine{Engine: batch.New(p), index: i, profile: p})
	}
	switch s.Policy {
	case Agateward:
		w.front = newFleet(w)
	case Oracle:
		w.front = &oracle{w: w}
	default:
		w.front = newBaseline(w)
	}
	return w
}
