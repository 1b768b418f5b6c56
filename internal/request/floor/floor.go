// Package floor provides the fleet-wide shed threshold of one model or service.
//
// The floor is the lowest tier that is admitted. An entry that must shed a tier
// first asks for a floor that sheds the tier below it, one step at a time, and
// sheds the tier only after every live peer has shown that nothing lower waits
// there any more. The floor in force is the highest-ranked one that any live
// entry asks for, so it falls again when the last entry stops asking.
//
// # Usage
//
//	var f floor.Floor
//	f.Hear(now, peers)
//	if f.Shed(now, r.Tier, waiting) {
//		// refuse r
//	}
//	f.Decay(now)
//	if r.Tier > f.Level() {
//		// refuse r: below the floor
//	}
//
// While two groups of entries can't hear each other, each holds the order among
// its own.
package floor

import (
	"time"

	"agateward/ward"
)

// Bounds of a floor.
const (
	// quiet is the time without a need to shed after which the floor falls by
	// one tier. Peers must have heard of the floor by then: a shorter time let
	// lower tiers through at peers that had not.
	quiet = time.Second
	// Hold is the longest time that a request is kept waiting for the floor
	// below it to be observed.
	Hold = time.Second
)

// Floor is the threshold as one entry sees it. Its zero value sheds nothing.
type Floor struct {
	// steps are counted from ward.TierBottom upwards; 0 sheds nothing.
	need    int
	peers   int
	pressed time.Time
	// lowest is the lowest tier that waits at any live peer, highest the floor of
	// the peer that admits most.
	lowest  ward.Tier
	highest ward.Tier
}

// Hear takes the newest states of the live peers.
func (f *Floor) Hear(peers []ward.ServesFloor) {
	f.peers = 0
	f.lowest = 0
	f.highest = 0
	for i := range peers {
		p := &peers[i]
		f.peers = max(f.peers, steps(p.Need))
		f.highest = max(f.highest, p.Floor)
		for t := ward.TierBottom; t >= ward.TierTop; t-- {
			if p.Waiting[t-ward.TierTop] > 0 {
				f.lowest = max(f.lowest, t)
				break
			}
		}
	}
}

// Need returns the floor that this entry asks for.
func (f *Floor) Need() ward.Tier { return ward.TierBottom - ward.Tier(f.need) }

// Level returns the floor in force: a request of a lower tier is shed.
func (f *Floor) Level() ward.Tier { return ward.TierBottom - ward.Tier(max(f.need, f.peers)) }

// Shed tells whether a request of a tier may be shed for want of capacity. If
// not yet, the entry asks for the next step of the floor. waiting counts this
// entry's waiting requests by tier.
func (f *Floor) Shed(now time.Time, tier ward.Tier, waiting [ward.TierCount]int) bool {
	f.pressed = now
	if tier >= ward.TierBottom {
		return true
	}
	level := f.Level()
	if level <= tier {
		f.need = max(f.need, steps(tier))
		return f.observed(tier, waiting)
	}
	if f.observed(level, waiting) {
		f.need = max(f.need, steps(level)+1)
	}
	return f.Level() <= tier && f.observed(tier, waiting)
}

// Force asks for the floor that a tier needs which was shed already, without
// waiting for the steps before it: no lower tier goes on longer than the news of
// it takes.
func (f *Floor) Force(now time.Time, tier ward.Tier) {
	f.pressed = now
	f.need = max(f.need, steps(tier))
}

// Decay lowers this entry's own need by a step after a quiet time, and tells
// whether it changed.
func (f *Floor) Decay(now time.Time) bool {
	if f.need == 0 || now.Sub(f.pressed) < quiet {
		return false
	}
	f.need--
	f.pressed = now
	return true
}

// observed tells whether nothing below tier waits or is admitted anywhere.
func (f *Floor) observed(tier ward.Tier, waiting [ward.TierCount]int) bool {
	for t := tier + 1; t <= ward.TierBottom; t++ {
		if waiting[t-ward.TierTop] > 0 {
			return false
		}
	}
	return f.lowest <= tier && f.highest <= tier
}

func steps(t ward.Tier) int {
	if t < ward.TierTop || t > ward.TierBottom {
		return 0
	}
	return int(ward.TierBottom - t)
}
