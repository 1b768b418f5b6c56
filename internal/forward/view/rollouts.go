package view

import (
	"slices"
	"strings"
	"time"

	"agateward/internal/forward/orderlog"
	"agateward/ward"
)

// adoptRollouts adds writes of orders to the logs of their services.
func (v *View) adoptRollouts(list []ward.Rollout, source string) {
	if len(list) == 0 {
		return
	}
	now := time.Now()
	changed := false
	v.mu.Lock()
	for _, r := range list {
		l := v.rollouts[r.Service]
		if l == nil {
			l = &orderlog.Log{}
			if v.rollouts == nil {
				v.rollouts = make(map[string]*orderlog.Log)
			}
			v.rollouts[r.Service] = l
		}
		before := l.Current()
		if !l.Add(r, now.Add(-r.Age)) {
			continue
		}
		if o := l.Current(); o.Revision != before.Revision {
			changed = true
			v.logOrder(before, o, source)
		}
	}
	v.mu.Unlock()
	if changed {
		v.Changed()
	}
}

// logOrder logs an order in force that differs from the one before. An order that is
// found to be an earlier one keeps its content.
func (v *View) logOrder(before, o orderlog.Order, source string) {
	if slices.Contains(o.Aliases, before.Revision) {
		v.Log.Info("rollout-order-recognized", "service", o.Service, "target", o.Target, "revision", ward.RevisionText(o.Revision),
			"before", ward.RevisionText(before.Revision), "source", source)
		return
	}
	v.Log.Info("rollout-ordered", "service", o.Service, "target", o.Target, "within", o.Within, "revision", ward.RevisionText(o.Revision), "age", time.Since(o.At), "source", source)
}

// Rollouts returns the orders that were not removed, with their age, sorted by
// service.
func (v *View) Rollouts() []ward.Rollout {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := v.currentOrders(time.Now())
	list = slices.DeleteFunc(list, func(r ward.Rollout) bool { return r.Target == "" })
	slices.SortFunc(list, func(a, b ward.Rollout) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// currentOrders returns the orders in force, including removals. The caller holds mu.
func (v *View) currentOrders(now time.Time) []ward.Rollout {
	var list []ward.Rollout
	for _, l := range v.rollouts {
		o := l.Current()
		o.Age = now.Sub(o.At)
		list = append(list, o.Rollout)
	}
	return list
}

// orderWrites returns all known writes of orders. The caller holds mu.
func (v *View) orderWrites(now time.Time) []ward.Rollout {
	var list []ward.Rollout
	for _, l := range v.rollouts {
		for _, w := range l.Writes() {
			w.Age = now.Sub(w.At)
			list = append(list, w.Rollout)
		}
	}
	return list
}

// OrderOf returns the revision by which this entry knows the order that the store held
// at a revision. A revision that is not known is that of an earlier order, or of one
// that this entry has still to learn of; known is false then, and newer reports which.
// A service without orders knows every revision.
func (v *View) OrderOf(service string, revision uint64) (id uint64, known, newer bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.rollouts[service]
	if l == nil {
		return revision, true, false
	}
	if id, known = l.Identify(revision); known {
		return id, true, false
	}
	return revision, false, revision > l.Newest()
}

// LearnOrder adds the write of an order that the record of its move names.
func (v *View) LearnOrder(r ward.Rollout) { v.adoptRollouts([]ward.Rollout{r}, "record") }
