// Package load provides the load generator: an open loop of seeded Poisson
// arrivals over HTTP that checks that each answer is whole and belongs to its
// request.
//
// # Usage
//
//	var t tally.Tally
//	g := load.Generator{Targets: []string{"http://127.0.0.1:8080"}, Mix: m, Rate: 50, Duration: 10 * time.Second, Tally: &t}
//	err := g.Run(ctx)
//
// Answers are compared with those of the stand-in engine and service. Rate is
// in requests a second.
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
	// maxRunning bounds the requests that wait for an answer; more are counted as
	// not sent.
	maxRunning = 20_000
	// repeatWithin is the longest time between an order and its repeat.
	repeatWithin = 500 * time.Millisecond
	// progressEvery is the time between two reports of progress.
	progressEvery = 2 * time.Second
	// connections bounds the idle connections that are kept for each target.
	connections = 2000
)

// Generator sends the load. Its fields are set before Run.
type Generator struct {
	// Targets are base URLs; each request goes to one drawn at random, as behind
	// a balancer. Pick replaces that when it is set.
	Targets []string
	Pick    func(r *rand.Rand) string
	// Client and Clock are made when they are nil.
	Client   *http.Client
	Clock    ward.Clock
	Mix      mix.Mix
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Tally    *tally.Tally
	// Observe is told of each answer and the target that it came from, when it is
	// set.
	Observe func(target string, o tally.Outcome)
	// Progress is told how far the run is, when it is set.
	Progress func(text string)
}

// Run sends requests for the duration, and waits for their answers.
func (g *Generator) Run(ctx context.Context) error {
	g.defaults()
	random := rand.New(rand.NewPCG(g.Seed, 0))
	running := make(chan struct{}, maxRunning)
	begin := g.Clock.Now()
	end := begin.Add(g.Duration)
	told := begin
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
		if at.Sub(told) > progressEvery {
			told = at
			g.tell(n, at.Sub(begin))
		}
		q := g.Mix.Draw(random)
		targets := []string{g.Pick(random)}
		if q.Repeated {
			targets = append(targets, g.Pick(random))
		}
		pause := time.Duration(random.Float64() * float64(repeatWithin))
		select {
		case running <- struct{}{}:
		default:
			return fmt.Errorf("more than %d requests wait for an answer", maxRunning)
		}
		wg.Go(func() {
			defer func() { <-running }()
			g.send(ctx, q, targets, pause)
		})
	}
}

// defaults fills the fields that may be left out.
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

// NewClient returns a client that keeps enough connections for a load.
func NewClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConns = 0
	t.MaxIdleConnsPerHost = connections
	t.Proxy = nil
	t.DisableCompression = true
	return &http.Client{Transport: t}
}

// send sends a request, and its repeat while the first may still run.
func (g *Generator) send(ctx context.Context, q mix.Request, targets []string, pause time.Duration) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for i, target := range targets {
		wg.Go(func() {
			if i > 0 && g.Clock.Sleep(ctx, pause) != nil {
				return
			}
			g.Tally.Sent(q.Class.Tier)
			o := g.call(ctx, q, target)
			g.Tally.Add(o)
			if g.Observe != nil {
				g.Observe(target, o)
			}
		})
	}
}

func (g *Generator) tell(n int, since time.Duration) {
	if g.Progress != nil {
		g.Progress(fmt.Sprintf("%d requests sent in %s", n, since.Round(time.Second)))
	}
}
