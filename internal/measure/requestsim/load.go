package requestsim

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"agateward/internal/standin/batch"
	"agateward/ward"
)

// The traffic of the experiments. Lengths differ a hundredfold, log-uniformly.
const (
	leastPrompt = 100 // tokens
	mostPrompt  = 10_000
	leastOutput = 8
	mostOutput  = 800
	// A caller allows up to mostSlack times the output that it will get.
	mostSlack = 3
	// tokenAllowance is the time a deadline allows for each token of MaxOutput.
	tokenAllowance = 80 * time.Millisecond
	// shared is the share of requests whose prompt begins with one of documents,
	// the popular ones more often.
	shared    = 0.5
	documents = 200
)

// firstTokenBy is the time to the first token by tier, tierShare the share of
// requests, and teamShare that of the teams.
var (
	firstTokenBy = [ward.TierCount]time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second}
	tierShare    = [ward.TierCount]float64{0.20, 0.25, 0.30, 0.25}
	teamShare    = []float64{0.40, 0.30, 0.15, 0.10, 0.05}
)

// job is one request of the traffic and what became of it.
type job struct {
	r ward.Request
	// asked is when the caller first sent it.
	asked  time.Time
	output int
	entry  int
	engine *engine
	first  time.Time
	ended  bool
	repeat bool
	good   bool
	// need is what the oracle counts of the prompt.
	need int
}

// traffic makes the requests of one run. The same seed makes the same ones for
// every policy.
type traffic struct {
	rng  *rand.Rand
	made int
}

// next returns a request that arrives at t.
func (g *traffic) next(t time.Time) *job {
	g.made++
	tier := pick(g.rng, tierShare[:])
	prompt := logUniform(g.rng, leastPrompt, mostPrompt)
	out := logUniform(g.rng, leastOutput, mostOutput)
	most := int(float64(out) * (1 + g.rng.Float64()*(mostSlack-1)))
	j := &job{output: out, asked: t}
	j.r = ward.Request{
		ID: "r" + strconv.Itoa(g.made), Team: "team-" + strconv.Itoa(pick(g.rng, teamShare)),
		Tier: ward.Tier(tier + 1), Route: "chat", Kind: ward.KindEngine, Serves: model,
		Arrived: t, FirstToken: firstTokenBy[tier], PromptTokens: prompt, MaxOutput: most,
		Prefix: g.prefix(prompt), Stream: true,
	}
	j.r.Deadline = t.Add(firstTokenBy[tier] + time.Duration(most)*tokenAllowance)
	return j
}

// prefix returns the block hashes of a prompt; up to four fifths of it may be
// shared with others.
func (g *traffic) prefix(prompt int) []uint64 {
	blocks := prompt / ward.PrefixBlockTokens
	out := make([]uint64, blocks)
	common := 0
	doc := uint64(documents * g.rng.Float64() * g.rng.Float64())
	if g.rng.Float64() < shared {
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

func logUniform(rng *rand.Rand, least, most float64) int {
	return int(least * math.Exp(rng.Float64()*math.Log(most/least)))
}

func logUniformMean(least, most float64) float64 { return (most - least) / math.Log(most/least) }

// Capacity returns the requests a second that an engine can serve of this
// traffic when no prompt is cached.
func Capacity(p batch.Profile) float64 {
	prompt := logUniformMean(leastPrompt, mostPrompt)
	out := logUniformMean(leastOutput, mostOutput)
	chunk := float64(p.Chunk)
	n := out * chunk / prompt
	if n <= float64(p.MaxBatch) {
		// Every step takes in a chunk of some prompt.
		step := p.DecodeBase.Seconds() + n*p.DecodePerSequence.Seconds() + chunk/p.PrefillRate
		return chunk / step / prompt
	}
	n = float64(p.MaxBatch)
	return 1 / (out*(p.DecodeBase.Seconds()/n+p.DecodePerSequence.Seconds()) + prompt/p.PrefillRate)
}
