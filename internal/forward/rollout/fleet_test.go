package rollout

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"agateward/internal/forward/peerstate"
	"agateward/internal/move/split"
	"agateward/internal/platform/memory"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// reports is a source of records that keeps the last reported state.
type reports struct {
	ward.ForwardSource
	store ward.Store
	mu    sync.Mutex
	state ward.RolloutState
}

func (s *reports) Records() ward.Store { return s.store }

func (s *reports) Report(_ context.Context, x ward.RolloutStatus) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = x.State
	return nil
}

func (s *reports) last() ward.RolloutState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// fleet is a few entries that send simulated model requests.
type fleet struct {
	entries []*Rollout
	rng     *rand.Rand
	source  *reports
	// slowdown and callerTime are the factor of the times of version v2 and the time
	// after which callers leave.
	slowdown   float64
	callerTime time.Duration
	// interval is the time between two requests of the whole fleet.
	interval time.Duration
	ordered  atomic.Bool
	sent     map[string]int
}

func newFleet(ctx context.Context, wg *sync.WaitGroup, n int, slowdown float64, callerTime, interval time.Duration, seed uint64) *fleet {
	f := &fleet{
		interval: interval,
		rng:      rand.New(rand.NewPCG(seed, 1)), source: &reports{store: &memory.Platform{Seed: seed}},
		slowdown: slowdown, callerTime: callerTime, sent: map[string]int{},
	}
	begin := time.Now()
	for i := range n {
		r := &Rollout{
			Self: fmt.Sprint("entry-", i), Start: 1, Source: f.source, Log: logr.Discard(),
			Orders: func() []ward.Rollout {
				if !f.ordered.Load() {
					return nil
				}
				return []ward.Rollout{{Service: "s", Target: "v2", Within: orderTime, Revision: 9, Age: time.Since(begin) - warmUp}}
			},
			Upstreams: upstreams("v1", "v1", "v2", "v2"),
			Fleet:     func() split.Fleet { return split.Fleet{Entries: n, Index: i} },
			Cells:     func() bool { return false },
			Changed:   func() {},
		}
		r.Publish = func(m peerstate.Moves) {
			time.AfterFunc(50*time.Millisecond, func() {
				for _, peer := range f.entries {
					if peer != r && ctx.Err() == nil {
						peer.UpdatePeer(m)
					}
				}
			})
		}
		f.entries = append(f.entries, r)
	}
	for _, r := range f.entries {
		wg.Go(func() { r.Run(ctx) })
	}
	return f
}

const (
	// warmUp is the time from the start of the entries to the order, orderTime the
	// operator's limit.
	warmUp    = 6 * time.Second
	orderTime = 15 * time.Second
)

// send sends a request of a random size at a random entry. Callers state an upper limit
// of the output that is far from its length.
func (f *fleet) send() {
	r := f.entries[f.rng.IntN(len(f.entries))]
	route := fmt.Sprint("r", f.rng.IntN(3))
	group, done := r.Choose(route, "s", f.rng.Float64())
	o := ward.Outcome{Upstream: "a", Version: "v1", OK: true, Connected: true}
	if group == groupName("s", "v2") {
		o.Upstream, o.Version = "c", "v2"
	}
	if f.ordered.Load() {
		f.sent[o.Version]++
	}
	tokens := 2 + 70*math.Exp(1.1*f.rng.NormFloat64())
	o.PromptTokens = 50 + int(1500*math.Exp(0.9*f.rng.NormFloat64()))
	o.OutputTokens = int(tokens * math.Exp(0.5*f.rng.NormFloat64()))
	seconds := (0.03 + 1e-5*float64(o.PromptTokens) + 0.004*tokens) * (0.8 + 0.4*f.rng.Float64())
	if o.Version == "v2" {
		seconds *= f.slowdown
	}
	o.Total = time.Duration(seconds * float64(time.Second))
	if o.Total > f.callerTime {
		o.OutputTokens = int(float64(o.OutputTokens) * float64(f.callerTime) / float64(o.Total))
		o.Total, o.OK, o.Cancelled, o.Overrun = f.callerTime, false, true, true
	}
	time.AfterFunc(o.Total, func() {
		done()
		o.At = time.Now()
		r.Observe(route, "s", o)
	})
}

// run sends requests until the operator's limit and returns the reported state and the
// fraction of the requests that version v2 got.
func (f *fleet) run() (state ward.RolloutState, share float64) {
	for begin := time.Now(); time.Since(begin) < warmUp+orderTime; time.Sleep(f.interval) {
		f.ordered.Store(time.Since(begin) >= warmUp)
		f.send()
	}
	return f.source.last(), float64(f.sent["v2"]) / float64(f.sent["v1"]+f.sent["v2"])
}

// Guards against a roll-out of a version that answers several times slower or never: it
// was completed, as expected times were learned only during the roll-out, and as requests
// that callers gave up did not count.
func TestSlowVersion(t *testing.T) {
	cases := []struct {
		name       string
		slowdown   float64
		callerTime time.Duration
		want       ward.RolloutState
		maxShare   float64
	}{
		{"good", 1, 8 * time.Second, ward.RolloutCompleted, 1},
		{"five times slower", 5, 8 * time.Second, ward.RolloutRolledBack, 0.1},
		{"no answer before callers leave", 1000, 5 * time.Second, ward.RolloutRolledBack, 0.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var wg sync.WaitGroup
					state, share := newFleet(ctx, &wg, 8, c.slowdown, c.callerTime, 18*time.Millisecond, seed).run()
					cancel()
					wg.Wait()
					t.Logf("seed %d: %s, share %.3f", seed, state, share)
					if state != c.want || share > c.maxShare {
						t.Errorf("seed %d: %s with %.3f of the requests, want %s with %.3f at most", seed, state, share, c.want, c.maxShare)
					}
				})
			}
		})
	}
}

// Guards against a version that never answers and is completed, where the requests of the
// canary end long after the next steps.
func TestNoAnswerWithLittleTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		state, share := newFleet(ctx, &wg, 8, 1000, 5*time.Second, 60*time.Millisecond, 0).run()
		cancel()
		wg.Wait()
		if state != ward.RolloutRolledBack || share > 0.1 {
			t.Errorf("%s with %.3f of the requests, want %s with 0.1 at most", state, share, ward.RolloutRolledBack)
		}
	})
}
