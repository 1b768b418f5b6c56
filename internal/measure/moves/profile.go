package moves

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind is the way in which a version is bad, or good.
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

// badKinds are the kinds of bad versions.
var badKinds = [...]kind{failsAtOnce, failsLater, slowAtOnce, slowLater, underLoad, oneRoute}

const (
	// oldFailureRate is the failure rate of the old version.
	oldFailureRate = 0.01
	// timeSigma is the standard deviation of the logarithm of an answer's time around
	// the time expected for its size.
	timeSigma = 0.4
	// lengthLogRange is the natural logarithm of the ratio of the longest to the
	// shortest prompt and output: a hundredfold.
	lengthLogRange = 4.6
	// routes is the number of routes of a move. Rates are per route.
	routes = 2
)

// profile is one seeded move: its traffic and how the new version behaves.
type profile struct {
	kind kind
	// rate is in requests a second on each route. window is the time from the
	// ticket to the deadline.
	rate   float64
	window time.Duration
	// While the version is bad, addedFailures is added to its failure rate and its
	// answer times are multiplied by slowdown.
	addedFailures, slowdown float64
	// onset is when the version turns bad, load the share of the traffic from which
	// it is bad, and route the route on which it is bad (-1: all).
	onset time.Duration
	load  float64
	route int
	// Between these times both versions fail more often and are slower.
	disturbedFrom, disturbedUntil time.Duration
}

// windowOf returns the window of a move at a rate: four hours, or one hour from 20
// requests a second on.
func windowOf(rate float64) time.Duration {
	if rate >= 20 {
		return time.Hour
	}
	return 4 * time.Hour
}

// draw draws a move of a kind. A bad version adds at least five points to the
// failure rate or slows answers at least 1.5 times. Kinds that turn bad later do
// so after 10 to 70% of the window, and underLoad is bad from a share of 20 to 50%
// on.
func draw(rng *rand.Rand, k kind, rate float64) profile { return drawIn(rng, k, rate, windowOf(rate)) }

// drawIn draws a move of a kind with the given window.
func drawIn(rng *rand.Rand, k kind, rate float64, window time.Duration) profile {
	p := profile{kind: k, rate: rate, window: window, slowdown: 1, route: -1}
	failing := k == failsAtOnce || k == failsLater
	slow := k == slowAtOnce || k == slowLater
	if k == underLoad || k == oneRoute {
		failing = rng.IntN(2) == 0
		slow = !failing
	}
	if failing {
		p.addedFailures = []float64{0.05, 0.2, 1}[rng.IntN(3)]
	}
	if slow {
		p.slowdown = []float64{1.5, 2, 5}[rng.IntN(3)]
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
	p.disturbedFrom = part(rng.Float64())
	p.disturbedUntil = p.disturbedFrom + part(0.03)
	return p
}

// bad reports whether the new version is bad on a route at a time, while it gets
// this share of the traffic.
func (p *profile) bad(at time.Duration, route int, share float64) bool {
	return p.kind != good && at >= p.onset && share >= p.load && (p.route < 0 || p.route == route)
}

// answer draws the size of a request, the time of its answer and whether it
// succeeds.
func (p *profile) answer(rng *rand.Rand, at time.Duration, bad bool) (prompt, output int, total time.Duration, ok bool) {
	prompt = int(20 * math.Exp(lengthLogRange*rng.Float64()))
	output = int(5 * math.Exp(lengthLogRange*rng.Float64()))
	failing, factor := oldFailureRate, 1.0
	if at >= p.disturbedFrom && at < p.disturbedUntil {
		failing += 0.03
		factor = 1.5
	}
	if bad {
		failing += p.addedFailures
		factor *= p.slowdown
	}
	seconds := (0.05 + 0.0003*float64(prompt) + 0.02*float64(output)) * factor * math.Exp(timeSigma*rng.NormFloat64())
	return prompt, output, time.Duration(seconds * float64(time.Second)), rng.Float64() >= failing
}
