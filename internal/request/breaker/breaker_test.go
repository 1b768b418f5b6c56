package breaker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"agateward/internal/request/breaker"
)

// TestProbesStayBounded counts the probes that a whole fleet sends to an upstream
// that is unreachable for a minute.
func TestProbesStayBounded(t *testing.T) {
	// Each entry first fails three times. Then pauses double up to 15 s; the fleet
	// sends four probes in each pause, and a pause is at least half as long.
	const mostProbes = 4 * 2 * (60/15 + 5)
	for _, entries := range []int{8, 100, 410} {
		rng := rand.New(rand.NewPCG(1, 2))
		probes := 0
		for range entries {
			var b breaker.Breaker
			now := time.Unix(1_700_000_000, 0)
			for range 3 {
				b.Fail(now, entries, rng)
			}
			for end := now.Add(time.Minute); now.Before(end); now = now.Add(50 * time.Millisecond) {
				if b.Allow(now) {
					probes++
					b.Fail(now, entries, rng)
				}
			}
		}
		if probes == 0 || probes > mostProbes {
			t.Errorf("%d entries sent %d probes in a minute, want some and at most %d", entries, probes, mostProbes)
		}
	}
}

func TestOneProbeAtATime(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var b breaker.Breaker
	now := time.Unix(1_700_000_000, 0)
	for range 3 {
		b.Fail(now, 1, rng)
	}
	if b.Allow(now) {
		t.Fatal("a connection is allowed right after the breaker opened")
	}
	b.Reachable(now)
	if !b.Allow(now) || b.Allow(now) {
		t.Fatal("want one probe, and no second one while it is in progress")
	}
	b.Succeed()
	if !b.Allow(now) || b.Open() {
		t.Fatal("the breaker stays open after a probe that succeeded")
	}
}
