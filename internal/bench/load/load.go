// Package load provides an open-loop load generator with seeded Poisson arrivals
// over HTTP. It checks that each answer is complete and belongs to its request.
//
// # Usage
//
//	var t tally.Tally
//	g := load.Generator{Targets: []string{"http://127.0.0.1:8080"}, Mix: m, Rate: 50, Duration: 10 * time.Second, Tally: &t}
//	err := g.Run(ctx)
//
// Answers are compared with those of the stand-in engine and service. Rate is in
// requests per second.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"agateward/internal/bench/mix"
	"agateward/internal/bench/tally"
	"agateward/ward"

	"github.com/sourcegraph/conc"
)

const (
	// maxInFlight bounds the requests that wait for an answer; one more ends the run
	// with an error.
	maxInFlight = 20_000
	// maxRepeatDelay is the maximum delay between an order and its repetition.
	maxRepeatDelay = 500 * time.Millisecond
	// progressInterval is the interval between progress reports.
	progressInterval = 2 * time.Second
	// maxIdleConnsPerTarget bounds the idle connections per target.
	maxIdleConnsPerTarget = 2000
)

// Generator sends the load. Its fields must be set before Run.
type Generator struct {
	// Targets are base URLs. Each request goes to a random one, as behind a load
	// balancer, or to the result of Pick when that is set.
	Targets []string
	Pick    func(r *rand.Rand) string
	// Client and Clock have defaults when they are nil.
	Client   *http.Client
	Clock    ward.Clock
	Mix      mix.Mix
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Tally    *tally.Tally
	// Observe is called with each outcome and its target. It may be nil.
	Observe func(target string, o tally.Outcome)
	// Progress is called with progress messages. It may be nil.
	Progress func(text string)
}

// Run sends requests for Duration, and waits for their answers.
func (g *Generator) Run(ctx context.Context) error {
	g.defaults()
	random := rand.New(rand.NewPCG(g.Seed, 0))
	inFlight := make(chan struct{}, maxInFlight)
	begin := g.Clock.Now()
	end := begin.Add(g.Duration)
	lastProgress := begin
	var wg conc.WaitGroup
	defer wg.Wait()
	for at, n := begin, 0; ; n++ {
		at = at.Add(time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second)))
		if at.After(end) {
			return nil
		}
		if err := g.Clock.Sleep(ctx, at.Sub(g.Clock.Now())); err != nil {
			return err
		}
		if at.Sub(lastProgress) > progressInterval {
			lastProgress = at
			g.reportProgress(n, at.Sub(begin))
		}
		q := g.Mix.Draw(random)
		targets := []string{g.Pick(random)}
		if q.Repeated {
			targets = append(targets, g.Pick(random))
		}
		pause := time.Duration(random.Float64() * float64(maxRepeatDelay))
		select {
		case inFlight <- struct{}{}:
		default:
			return fmt.Errorf("more than %d requests are waiting for an answer", maxInFlight)
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			g.send(ctx, q, targets, pause)
		})
	}
}

// defaults sets the optional fields that are unset.
func (g *Generator) defaults() {
	if g.Clock == nil {
		g.Clock = ward.SystemClock{}
	}
	if g.Client == nil {
		g.Client = NewClient()
	}
	if g.Pick == nil {
		g.Pick = func(r *rand.Rand) string { return g.Targets[r.IntN(len(g.Targets))] }
	}
}

// NewClient returns an HTTP client that keeps enough idle connections for a load.
func NewClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConns = 0
	t.MaxIdleConnsPerHost = maxIdleConnsPerTarget
	t.Proxy = nil
	t.DisableCompression = true
	return &http.Client{Transport: t}
}

// send sends a request and its repetition, if any, while the first may still run.
func (g *Generator) send(ctx context.Context, q mix.Request, targets []string, pause time.Duration) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for i, target := range targets {
		wg.Go(func() {
			if i > 0 && g.Clock.Sleep(ctx, pause) != nil {
				return
			}
			g.Tally.Sent(q.Class.Tier)
			o := g.sendOne(ctx, q, target)
			g.Tally.Add(o)
			if g.Observe != nil {
				g.Observe(target, o)
			}
		})
	}
}

func (g *Generator) reportProgress(n int, since time.Duration) {
	if g.Progress != nil {
		g.Progress(fmt.Sprintf("%d requests sent in %s", n, since.Round(time.Second)))
	}
}
