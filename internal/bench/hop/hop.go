// Package hop compares load through an entry with the same load sent directly to
// the stand-in engines, in one process over loopback TCP.
//
// The generator, the engines and the entry share the process, so the entry's
// processor time is the difference between the two.
//
// # Usage
//
//	r := &rig.Rig{Entries: 1, Engines: hop.Engines, Services: 1, Profile: hop.Profile}
//	err := r.Start(ctx)
//	direct, through, err := hop.Load{Tokens: 100, Rate: 150, Length: 4 * time.Second}.Compare(ctx, r, seed)
package hop

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"agateward/internal/bench/load"
	"agateward/internal/bench/mix"
	"agateward/internal/bench/rig"
	"agateward/internal/bench/tally"
	"agateward/internal/bench/usage"
	"agateward/internal/standin/batch"
)

// Engines is the number of stand-in engines that a comparison needs.
const Engines = 4

// Profile is the profile of an engine far below its capacity, so that batching in
// the engine does not affect the difference.
var Profile = batch.Profile{PrefillRate: 1e6, DecodeBase: 10 * time.Millisecond, DecodePerSequence: 5 * time.Microsecond, MaxBatch: 1024}

// calls is the mix of streams; the arguments are the length in tokens, twice.
const calls = `{"classes": [{"name": "letters", "weight": 1, "kind": "chat", "model": "menu-writer", "route": "letters",
	"team": "letters", "tier": 4, "deadline": "10m", "stream": true, "prompt": [200, 200], "output": [%d, %d]}]}`

// Run is the result of one load.
type Run struct {
	Requests int
	Tokens   int
	// CPU is the processor time of the whole process.
	CPU  time.Duration
	Tier tally.Tier
}

// Load is a load of streams of one length.
type Load struct {
	// Tokens is the output length of each request, Rate is in requests per second.
	Tokens int
	Rate   float64
	Length time.Duration
}

// Direct returns a function that picks a random engine, for load without an entry.
func Direct(r *rig.Rig) func(*rand.Rand) string {
	targets := r.EngineTargets()
	return func(random *rand.Rand) string { return targets[random.IntN(len(targets))] }
}

// Mix returns the request mix of the load.
func (l Load) Mix() (mix.Mix, error) {
	return mix.Parse("hop", fmt.Appendf(nil, calls, l.Tokens, l.Tokens))
}

// Compare sends the load directly to the engines and then through the entries.
func (l Load) Compare(ctx context.Context, r *rig.Rig, seed uint64) (direct, through Run, err error) {
	if direct, err = l.once(ctx, Direct(r), seed); err != nil {
		return direct, through, err
	}
	through, err = l.once(ctx, r.Pick, seed)
	return direct, through, err
}

// once sends the load to the picked targets. It fails unless every answer is good.
func (l Load) once(ctx context.Context, pick func(*rand.Rand) string, seed uint64) (Run, error) {
	m, err := l.Mix()
	if err != nil {
		return Run{}, err
	}
	var t tally.Tally
	g := load.Generator{Pick: pick, Mix: m, Rate: l.Rate, Duration: l.Length, Seed: seed, Tally: &t}
	before := usage.ReadAfterGC()
	if err := g.Run(ctx); err != nil {
		return Run{}, err
	}
	spent := usage.Read().CPU - before.CPU
	tier := t.Tiers()[0]
	if t.Count(tally.Good) != tier.Sent {
		return Run{}, fmt.Errorf("%d of %d answers were good: %v", t.Count(tally.Good), tier.Sent, tier.Results)
	}
	return Run{Requests: tier.Sent, Tokens: t.Tokens(), CPU: spent, Tier: tier}, nil
}
