package requestsim

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"agateward/internal/standin/batch"
	"agateward/ward"
)

// The traffic of the experiments. Lengths are distributed log-uniformly over a
// hundredfold range.
const (
	minPrompt = 100 // tokens
	maxPrompt = 10_000
	minOutput = 8
	maxOutput = 800
	// maxOutputFactor is the maximum ratio of MaxOutput to the actual output.
	maxOutputFactor = 3
	// tokenAllowance is the time that a deadline allows for each token of MaxOutput.
	tokenAllowance = 80 * time.Millisecond
	// sharedPrefixShare is the share of requests whose prompt begins with a shared
	// document. documents is the number of these; some are more popular than others.
	sharedPrefixShare = 0.5
	documents         = 200
)

// firstTokenTargets are the maximum times to the first token by tier, tierShares
// the shares of the requests by tier, and teamShares those by team.
var (
	firstTokenTargets = [ward.TierCount]time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second}
	tierShares        = [ward.TierCount]float64{0.20, 0.25, 0.30, 0.25}
	teamShares        = []float64{0.40, 0.30, 0.15, 0.10, 0.05}
)

// job is a request of the traffic and its state.
type job struct {
	r ward.Request
	// firstSent is when the caller sent its first attempt.
	firstSent time.Time
	output    int
	entry     int
	engine    *engine
	first     time.Time
	ended     bool
	repeat    bool
	good      bool
	// oraclePrefill is the number of prompt tokens that the oracle counts as still
	// to compute at the engine.
	oraclePrefill int
}

// traffic generates the requests of one run. The same seed gives every policy the
// same requests.
type traffic struct {
	rng   *rand.Rand
	count int
}

// next returns a request that arrives at t.
func (g *traffic) next(t time.Time) *job {
	g.count++
	tier := pick(g.rng, tierShares[:])
	prompt := logUniform(g.rng, minPrompt, maxPrompt)
	out := logUniform(g.rng, minOutput, maxOutput)
	maxTokens := int(float64(out) * (1 + g.rng.Float64()*(maxOutputFactor-1)))
	j := &job{output: out, firstSent: t}
	j.r = ward.Request{
		ID: "r" + strconv.Itoa(g.count), Team: "team-" + strconv.Itoa(pick(g.rng, teamShares)),
		Tier: ward.Tier(tier + 1), Route: "chat", Kind: ward.KindEngine, Serves: model,
		Arrived: t, FirstToken: firstTokenTargets[tier], PromptTokens: prompt, MaxOutput: maxTokens,
		Prefix: g.prefix(prompt), Stream: true,
	}
	j.r.Deadline = t.Add(firstTokenTargets[tier] + time.Duration(maxTokens)*tokenAllowance)
	return j
}

// prefix returns the block hashes of a prompt, of which four fifths may be shared
// with other prompts.
func (g *traffic) prefix(prompt int) []uint64 {
	blocks := prompt / ward.PrefixBlockTokens
	out := make([]uint64, blocks)
	common := 0
	doc := uint64(documents * g.rng.Float64() * g.rng.Float64())
	if g.rng.Float64() < sharedPrefixShare {
		common = blocks * 4 / 5
	}
	for i := range out {
		if i < common {
			out[i] = (doc+1)<<32 | uint64(i)
		} else {
			out[i] = g.rng.Uint64() | 1<<63
		}
	}
	return out
}

func pick(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func logUniform(rng *rand.Rand, low, high float64) int {
	return int(low * math.Exp(rng.Float64()*math.Log(high/low)))
}

func logUniformMean(low, high float64) float64 { return (high - low) / math.Log(high/low) }

// Capacity returns the requests of this traffic that an engine can serve a second
// when no prompt is cached.
func Capacity(p batch.Profile) float64 {
	prompt := logUniformMean(minPrompt, maxPrompt)
	out := logUniformMean(minOutput, maxOutput)
	chunk := float64(p.Chunk)
	n := out * chunk / prompt
	if n <= float64(p.MaxBatch) {
		// Every step prefills a chunk of some prompt.
		step := p.DecodeBase.Seconds() + n*p.DecodePerSequence.Seconds() + chunk/p.PrefillRate
		return chunk / step / prompt
	}
	n = float64(p.MaxBatch)
	return 1 / (out*(p.DecodeBase.Seconds()/n+p.DecodePerSequence.Seconds()) + prompt/p.PrefillRate)
}
