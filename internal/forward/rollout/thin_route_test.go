package rollout

import (
	"testing"

	"agateward/ward"
)

// Guards against EXPOSURE: a version that fails all requests of a route with little of the
// service's traffic was approved by the other routes, as that one was not evaluated.
func TestVersionWithAThinRoute(t *testing.T) {
	cases := []struct {
		name string
		// cancel is the number of requests a second of the thin route.
		cancel float64
		bad    badness
		// completed is the least and most number of plays of fewSeeds that complete.
		least, most int
	}{
		{"all fail, 1.5 a second", 1.5, badness{failed: 1, route: "cancel"}, 0, 0},
		{"all fail, 1.2 a second", 1.2, badness{failed: 1, route: "cancel"}, 0, 0},
		{"all fail, 0.6 a second", 0.6, badness{failed: 1, route: "cancel"}, 0, 1},
		{"sound, 1.2 a second", 1.2, badness{}, fewSeeds * 7 / 8, fewSeeds},
		{"sound, one in 20 s", 0.05, badness{}, fewSeeds * 7 / 8, fewSeeds},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			completed := 0
			for seed := range uint64(fewSeeds) {
				s := &site{routes: map[string]float64{"confirm": 22.5, "check": 9, "cancel": c.cancel}, entries: 3, bad: c.bad}
				s.play(t, seed)
				if s.state == ward.RolloutCompleted {
					completed++
				} else {
					t.Logf("seed %d: %q, %d of %d requests: %s", seed, s.state, s.exposed, s.requests, s.why)
				}
				if c.most < fewSeeds && s.state != ward.RolloutCompleted && s.overExposed() {
					t.Errorf("seed %d: %d of %d requests at the bad version", seed, s.exposed, s.requests)
				}
			}
			if t.Logf("%s: %d of %d completed", c.name, completed, fewSeeds); completed < c.least || completed > c.most {
				t.Errorf("%d of %d completed, want %d to %d", completed, fewSeeds, c.least, c.most)
			}
		})
	}
}
