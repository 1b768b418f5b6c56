package quota

import "time"

// bucket is the token bucket of a team at this entry, in units.
type bucket struct {
	level float64
	// withheld is what was left to the peers that are unresponsive.
	withheld float64
	// fraction is that of the live entries when the bucket was last filled.
	fraction float64
	burst    float64
	// recent holds the usage of the last slots, of this entry and of its peers; slot is
	// the number of the newest one.
	recent [slotCount]float64
	slot   int64
	// created is when the bucket was first filled.
	created time.Time
	// rate is 0 until the first request of the team.
	rate    float64
	updated time.Time
	// inherited is true when the level takes account of usage before this entry's
	// start.
	inherited bool
}

// charge takes usage out of the bucket.
func (b *bucket) charge(size float64, now time.Time) {
	b.level -= size
	b.toSlot(now)
	b.recent[b.slot%slotCount] += size
}

// usedSince returns the usage since a time at most peerTimeout ago, to a slot.
func (b *bucket) usedSince(t, now time.Time) (sum float64) {
	b.toSlot(now)
	for i := max(slotOf(t), b.slot-slotCount+1); i <= b.slot; i++ {
		sum += b.recent[i%slotCount]
	}
	return sum
}

// toSlot makes the slot of now the newest one.
func (b *bucket) toSlot(now time.Time) {
	newest := max(slotOf(now), b.slot)
	for i := max(b.slot+1, newest-slotCount+1); i <= newest; i++ {
		b.recent[i%slotCount] = 0
	}
	b.slot = newest
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotTime) }
