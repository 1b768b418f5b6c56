package mover

import (
	"agateward/internal/move/analysis"
	"agateward/internal/move/evidence"
	"agateward/ward"
)

// addToTotals adds the increase from before to after to the totals of k.
func (m *Mover) addToTotals(k evidence.Key, before, after ward.Counts) {
	t := m.totals[k]
	if t == nil {
		t = &analysis.Totals{}
		m.totals[k] = t
	}
	t.Succeeded += increase(before.Succeeded, after.Succeeded)
	t.Failed += increase(before.Failed, after.Failed)
	for i, n := range after.Latency {
		t.Latency[i] += increase(before.Latency[i], n)
	}
}

// increase returns the increase of a count, and 0 when it has decreased.
func increase(before, after uint64) uint64 {
	if after < before {
		return 0
	}
	return after - before
}

// addOwnChanges adds what this entry has counted since the last evaluation.
func (m *Mover) addOwnChanges() { m.addOwn(m.recorder.Changed()) }

func (m *Mover) addOwn(counts []ward.Counts) {
	for _, c := range counts {
		k := keyOf(c)
		before := m.ownCounted[k]
		if c.Succeeded+c.Failed > before.Succeeded+before.Failed {
			m.addToTotals(k, before, c)
			m.ownCounted[k] = c
		}
	}
}

// rebuildTotals recomputes the totals after counts were removed.
func (m *Mover) rebuildTotals() {
	clear(m.totals)
	clear(m.ownCounted)
	for k, c := range m.peerCounts {
		m.addToTotals(k.key, ward.Counts{}, c)
	}
	m.addOwn(m.recorder.Counts())
}

func (m *Mover) total(k evidence.Key) analysis.Totals {
	if t := m.totals[k]; t != nil {
		return *t
	}
	return analysis.Totals{}
}

func keyOf(c ward.Counts) evidence.Key {
	return evidence.Key{Move: c.Move, Route: c.Route, Serves: c.Serves, Version: c.Version}
}

// evidenceOf returns the counts of a run over all entries and steps, one for each
// route and version, as the evidence for its outcome.
func (m *Mover) evidenceOf(c *ward.Config, x ward.Move) []ward.Counts {
	const maxEvidence = 16
	name := evidence.RunName(x.Name, x.Ticket)
	sums := map[evidence.Key]analysis.Totals{}
	for k, t := range m.totals {
		if k.Move = evidence.RunOf(k.Move); k.Move == name {
			s := sums[k]
			s.Merge(*t)
			sums[k] = s
		}
	}
	var list []ward.Counts
	for _, r := range routesOf(c, x) {
		for _, version := range []string{x.From, x.To} {
			t := sums[evidence.Key{Move: name, Route: r.Name, Serves: x.Serves, Version: version}]
			if t.Outcomes() > 0 && len(list) < maxEvidence {
				list = append(list, ward.Counts{
					Serves: x.Serves, Version: version, Route: r.Name, Move: name,
					Succeeded: t.Succeeded, Failed: t.Failed, Latency: t.Latency,
				})
			}
		}
	}
	return list
}
