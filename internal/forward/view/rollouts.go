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
		if r.Revision <= v.rollouts[r.Service].Revision {
			continue
		}
		if v.rollouts == nil {
			v.rollouts = make(map[string]rollout)
		}
		v.rollouts[r.Service] = rollout{Rollout: r, orderedAt: now.Add(-r.Age)}
		changed = true
		v.Log.Info("rollout-ordered", "service", r.Service, "target", r.Target, "within", r.Within, "revision", r.Revision, "age", r.Age, "source", source)
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
