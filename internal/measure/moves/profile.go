package moves

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind is a way in which a version is bad.
type kind string

const (
	good        kind = "good"
	failsAtOnce kind = "fails-at-once"
	failsLater  kind = "fails-later"
	slowAtOnce  kind = "slow-at-once"
	slowLater   kind = "slow-later"
	underLoad   kind = "bad-under-load"
	oneRoute    kind = "bad-on-one-route"
)

// badKinds are the kinds of the issue.
var badKinds = [...]kind{failsAtOnce, failsLater, slowAtOnce, slowLater, underLoad, oneRoute}

const (
	// oldFailing is the failure rate of the old version.
	oldFailing = 0.01
	// spread is the standard deviation of the logarithm of an answer's time
	// around what its size gives.
	spread = 0.4
	// sizes is the logarithm of the range of prompt and output lengths: a
	// hundredfold.
	sizes = 4.6
	// routes is the number of routes of a move; requests a second are of each.
	routes = 2
)

// profile is one seeded move: its traffic and how the new version behaves.
type profile struct {
	kind kind
	// rate is in requests a second on each route, window the time from the
	// ticket to the deadline.
	rate   float64
	window time.Duration
	// points is added to the failure rate, factor multiplies the times, while
	// the version is bad.
	points, factor float64
	// onset is when it turns bad, load the share from which it is, route the
	// one it is bad on (-1: all).
	onset time.Duration
	load  float64
	route int
	// A disturbance makes both versions fail and slow down for a while.
	disturbed, calm time.Duration
}

// windowOf returns the window of a move at a rate: four hours, and one where
// the traffic is ten times as much.
func windowOf(rate float64) time.Duration {
	if rate >= 20 {
		return time.Hour
	}
	return 4 * time.Hour
}

// draw draws a move of a kind. The badness is one of the from five
// points and 1.5 times up; later means after 10 to 70% of the window, under load
// from 20 to 50% of the traffic on.
func draw(rng *rand.Rand, k kind, rate float64) profile { return drawIn(rng, k, rate, windowOf(rate)) }

// drawIn draws a move of a kind with a window.
func drawIn(rng *rand.Rand, k kind, rate float64, window time.Duration) profile {
	p := profile{kind: k, rate: rate, window: window, factor: 1, route: -1}
	failing := k == failsAtOnce || k == failsLater
	slow := k == slowAtOnce || k == slowLater
	if k == underLoad || k == oneRoute {
		failing = rng.IntN(2) == 0
		slow = !failing
	}
	if failing {
		p.points = []float64{0.05, 0.2, 1}[rng.IntN(3)]
	}
	if slow {
		p.factor = []float64{1.5, 2, 5}[rng.IntN(3)]
	}
	part := func(f float64) time.Duration { return time.Duration(f * float64(p.window)) }
	switch k {
	case failsLater, slowLater:
		p.onset = part(0.1 + 0.6*rng.Float64())
	case underLoad:
		p.load = 0.2 + 0.3*rng.Float64()
	case oneRoute:
		p.route = rng.IntN(routes)
	}
	p.disturbed = part(rng.Float64())
	p.calm = p.disturbed + part(0.03)
	return p
}

// bad tells whether the new version is bad on a route at a time, while it gets
// share of the traffic.
func (p *profile) bad(at time.Duration, route int, share float64) bool {
	return p.kind != good && at >= p.onset && share >= p.load && (p.route < 0 || p.route == route)
}

// answer draws the size of a request and how it ends.
func (p *profile) answer(rng *rand.Rand, at time.Duration, bad bool) (prompt, output int, total time.Duration, ok bool) {
	prompt = int(20 * math.Exp(sizes*rng.Float64()))
	output = int(5 * math.Exp(sizes*rng.Float64()))
	failing, factor := oldFailing, 1.0
	if at >= p.disturbed && at < p.calm {
		failing += 0.03
		factor = 1.5
	}
	if bad {
		failing += p.points
		factor *= p.factor
	}
	seconds := (0.05 + 0.0003*float64(prompt) + 0.02*float64(output)) * factor * math.Exp(spread*rng.NormFloat64())
	return prompt, output, time.Duration(seconds * float64(time.Second)), rng.Float64() >= failing
}
