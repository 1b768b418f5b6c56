package view

import (
	"slices"
	"strings"
	"time"

	"agateward/ward"
)

// rollout is an order of a roll-out with the time when it was issued, by this
// entry's clock.
type rollout struct {
	ward.Rollout
	orderedAt time.Time
	// seen is the newest revision at which the store held this order. It differs from
	// Revision, which identifies the order, once the store has returned from an older
	// copy.
	seen uint64
	// earlier lists the store's own revisions of the orders that this one replaced.
	earlier []uint64
}

// maxEarlier bounds the earlier orders of a service that are remembered.
const maxEarlier = 16

// repeats reports whether r, of a later era of the store, is this order or one that
// it replaced: an older copy of the store may hold either.
func (o *rollout) repeats(r ward.Rollout) bool {
	era, own := ward.SplitRevision(r.Revision)
	if was, _ := ward.SplitRevision(o.seen); era <= was {
		return false
	}
	return r.Target == o.Target && r.Within == o.Within || slices.Contains(o.earlier, own)
}

// adoptRollouts replaces the known orders by newer ones.
func (v *View) adoptRollouts(list []ward.Rollout, source string) {
	if len(list) == 0 {
		return
	}
	now := time.Now()
	changed := false
	v.mu.Lock()
	for _, r := range list {
		known := v.rollouts[r.Service]
		if r.Revision <= known.seen {
			continue
		}
		if known.seen > 0 && known.repeats(r) {
			if r.Target == known.Target {
				known.seen = r.Revision
				v.rollouts[r.Service] = known
			}
			continue
		}
		if v.rollouts == nil {
			v.rollouts = make(map[string]rollout)
		}
		earlier := known.earlier
		if _, own := ward.SplitRevision(known.seen); own > 0 {
			earlier = append(earlier, own)
			earlier = earlier[max(len(earlier)-maxEarlier, 0):]
		}
		v.rollouts[r.Service] = rollout{Rollout: r, orderedAt: now.Add(-r.Age), seen: r.Revision, earlier: earlier}
		changed = true
		v.Log.Info("rollout-ordered", "service", r.Service, "target", r.Target, "within", r.Within, "revision", ward.RevisionText(r.Revision), "age", r.Age, "source", source)
	}
	v.mu.Unlock()
	if changed {
		v.Changed()
	}
}

// Rollouts returns the orders that were not removed, with their age, sorted by
// service.
func (v *View) Rollouts() []ward.Rollout {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []ward.Rollout
	for _, r := range v.rollouts {
		if r.Target != "" {
			r.Age = now.Sub(r.orderedAt)
			list = append(list, r.Rollout)
		}
	}
	slices.SortFunc(list, func(a, b ward.Rollout) int { return strings.Compare(a.Service, b.Service) })
	return list
}
