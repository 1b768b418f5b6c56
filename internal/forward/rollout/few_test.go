package rollout

import (
	"fmt"
	"testing"
	"time"

	"agateward/ward"
)

// fewSeeds is the number of plays of each case.
const fewSeeds = 8

// playFew plays one seed with a number of requests to be expected between the order and the
// deadline of the move, a third of them on a route of its own.
func playFew(t *testing.T, seed uint64, requests float64, bad badness, with trouble) *site {
	const window = orderTime - minMargin
	rate := requests / window.Seconds()
	s := &site{routes: map[string]float64{"confirm": 2 * rate / 3, "check": rate / 3}, entries: 3, warm: time.Minute, bad: bad, trouble: with}
	s.play(t, seed)
	return s
}

// Guards against a bad version that is completed by the clock, as too few requests come for an
// approval: all later requests met it, since the old version stops at once.
func TestBadVersionWithFewRequests(t *testing.T) {
	all, most, third := badness{failed: 1}, badness{failed: 0.6}, badness{failed: 0.3}
	slow, half, silent := badness{slow: 1, factor: 3}, badness{slow: 0.5}, badness{silent: true}
	away := trouble{turned: 4, turnedAt: 4 * time.Second, turnedTo: 9 * time.Second}
	cases := []struct {
		name     string
		requests float64
		bad      badness
		with     trouble
		// completed is the number of plays of fewSeeds in which the version may be completed.
		completed int
	}{
		{"all fail, 5 requests", 5, all, trouble{}, 2},
		{"60 in 100 fail, 5 requests", 5, most, trouble{}, 4},
		{"all fail, 20 requests", 20, all, trouble{}, 0},
		{"60 in 100 fail, 20 requests", 20, most, trouble{}, 0},
		{"30 in 100 fail, 20 requests", 20, third, trouble{}, 2},
		{"all take three times as long, 20 requests", 20, slow, trouble{}, 2},
		{"half take eight times as long, 20 requests", 20, half, trouble{}, 2},
		{"never answers, 20 requests", 20, silent, trouble{}, 1},
		{"all fail, 50 requests", 50, all, trouble{}, 0},
		{"60 in 100 fail, 50 requests", 50, most, trouble{}, 0},
		{"60 in 100 fail, 50 requests, the store turns all away", 50, most, away, 0},
		{"30 in 100 fail, 50 requests", 50, third, trouble{}, 1},
		{"all take three times as long, 50 requests", 50, slow, trouble{}, 0},
		{"half take eight times as long, 50 requests", 50, half, trouble{}, 1},
		{"never answers, 50 requests", 50, silent, trouble{}, 0},
		{"all fail on one route, 50 requests", 50, badness{failed: 1, route: "check"}, trouble{}, 0},
		{"30 in 100 fail, 90 requests", 90, third, trouble{}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			completed, late := 0, 0
			for seed := range uint64(fewSeeds) {
				s := playFew(t, seed, c.requests, c.bad, c.with)
				if s.overExposed() {
					t.Errorf("seed %d: %d of %d requests at the bad version", seed, s.exposed, s.requests)
				}
				if s.state == ward.RolloutCompleted {
					completed++
					t.Logf("seed %d: %d of %d requests, completed", seed, s.exposed, s.requests)
				}
				late += s.late
			}
			if t.Logf("%s: %d of %d completed, %d requests after the bound", c.name, completed, fewSeeds, late); completed > c.completed {
				t.Errorf("%d of %d completed, want %d at most", completed, fewSeeds, c.completed)
			}
		})
	}
}

// Guards against sound versions that are rolled back since few requests come, or none.
func TestGoodVersionWithFewRequests(t *testing.T) {
	cases := []struct {
		requests  float64
		completed int
	}{{1e-9, fewSeeds}, {1, fewSeeds}, {5, fewSeeds}, {20, fewSeeds * 7 / 8}, {50, fewSeeds * 3 / 4}, {90, fewSeeds * 3 / 4}, {120, fewSeeds * 3 / 4}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%.0f requests", c.requests), func(t *testing.T) {
			t.Parallel()
			completed := 0
			for seed := range uint64(fewSeeds) {
				s := playFew(t, seed, c.requests, badness{}, trouble{})
				if s.state == ward.RolloutCompleted {
					completed++
				} else {
					t.Logf("seed %d: %q, %d of %d requests: %s", seed, s.state, s.exposed, s.requests, s.why)
				}
			}
			if t.Logf("%.0f requests: %d of %d completed", c.requests, completed, fewSeeds); completed < c.completed {
				t.Errorf("%d of %d completed, want %d", completed, fewSeeds, c.completed)
			}
		})
	}
}
