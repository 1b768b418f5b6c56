// Package floor computes the fleet-wide load-shedding threshold of one model or
// service.
//
// The floor is the lowest tier that is admitted. An entry that must shed a tier
// first asks for a floor that sheds the tiers below it, one step at a time. It
// sheds the tier only after every live peer has reported that nothing lower
// waits there any more. The floor in force is the highest-ranked one that any
// live entry asks for, so it falls when the last entry stops asking.
//
// # Usage
//
//	var f floor.Floor
//	f.UpdatePeers(peers)
//	if f.Shed(now, r.Tier, waiting) {
//		// refuse r
//	}
//	f.Decay(now)
//	if r.Tier > f.Level() {
//		// refuse r: below the floor
//	}
//
// During a network partition each group of entries keeps the order of tiers
// among its own requests.
package floor

import (
	"time"

	"agateward/ward"
)

// Bounds of a floor.
const (
	// decayDelay is the time without a need to shed after which the floor falls by
	// one tier. All peers must know of the floor by then: with a shorter time,
	// peers that did not know of it admitted lower tiers.
	decayDelay = time.Second
	// MaxHold is the longest time that a request is held until no lower tier waits
	// or is admitted at any peer.
	MaxHold = time.Second
)

// Floor is one entry's view of the threshold. Its zero value sheds nothing.
type Floor struct {
	// need and peerNeed are the floors that this entry and its peers ask for, in
	// steps up from ward.TierBottom; 0 sheds nothing.
	need     int
	peerNeed int
	// quietSince is the time of the last need to shed, or of the last decay.
	quietSince time.Time
	// lowestWaiting is the lowest tier that waits at any live peer, laxestFloor
	// the floor of the peer that admits most.
	lowestWaiting ward.Tier
	laxestFloor   ward.Tier
}

// UpdatePeers sets the latest states of the live peers.
func (f *Floor) UpdatePeers(peers []ward.ServesFloor) {
	f.peerNeed = 0
	f.lowestWaiting = 0
	f.laxestFloor = 0
	for i := range peers {
		p := &peers[i]
		f.peerNeed = max(f.peerNeed, steps(p.Need))
		f.laxestFloor = max(f.laxestFloor, p.Floor)
		for t := ward.TierBottom; t >= ward.TierTop; t-- {
			if p.Waiting[t-ward.TierTop] > 0 {
				f.lowestWaiting = max(f.lowestWaiting, t)
				break
			}
		}
	}
}

// Need returns the floor that this entry asks for.
func (f *Floor) Need() ward.Tier { return ward.TierBottom - ward.Tier(f.need) }

// Level returns the floor in force. Requests of lower tiers are shed.
func (f *Floor) Level() ward.Tier { return ward.TierBottom - ward.Tier(max(f.need, f.peerNeed)) }

// Shed reports whether a request of a tier may be shed for lack of capacity. If
// not yet, it asks for the next step of the floor. waiting is the number of
// requests that wait at this entry, by tier.
func (f *Floor) Shed(now time.Time, tier ward.Tier, waiting [ward.TierCount]int) bool {
	f.quietSince = now
	if tier >= ward.TierBottom {
		return true
	}
	level := f.Level()
	if level <= tier {
		f.need = max(f.need, steps(tier))
		return f.noneBelow(tier, waiting)
	}
	if f.noneBelow(level, waiting) {
		f.need = max(f.need, steps(level)+1)
	}
	return f.Level() <= tier && f.noneBelow(tier, waiting)
}

// Force asks at once for the floor of a tier that was already shed, skipping the
// steps before it. Lower tiers are then admitted only until the peers learn of
// the floor.
func (f *Floor) Force(now time.Time, tier ward.Tier) {
	f.quietSince = now
	f.need = max(f.need, steps(tier))
}

// Decay lowers the floor that this entry asks for by one step once decayDelay has
// passed without a need to shed. It reports whether it changed.
func (f *Floor) Decay(now time.Time) bool {
	if f.need == 0 || now.Sub(f.quietSince) < decayDelay {
		return false
	}
	f.need--
	f.quietSince = now
	return true
}

// noneBelow reports whether no tier below the given one waits or is admitted at
// this entry or any live peer.
func (f *Floor) noneBelow(tier ward.Tier, waiting [ward.TierCount]int) bool {
	for t := tier + 1; t <= ward.TierBottom; t++ {
		if waiting[t-ward.TierTop] > 0 {
			return false
		}
	}
	return f.lowestWaiting <= tier && f.laxestFloor <= tier
}

// steps returns the number of steps from ward.TierBottom up to a tier.
func steps(t ward.Tier) int {
	if t < ward.TierTop || t > ward.TierBottom {
		return 0
	}
	return int(ward.TierBottom - t)
}
