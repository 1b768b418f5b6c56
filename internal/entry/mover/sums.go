package mover

import (
	"agateward/internal/move/analysis"
	"agateward/internal/move/evidence"
	"agateward/ward"
)

// addToSum adds what counts have gained over those before.
func (m *Mover) addToSum(k evidence.Key, before, after ward.Counts) {
	t := m.sums[k]
	if t == nil {
		t = &analysis.Totals{}
		m.sums[k] = t
	}
	t.Succeeded += gain(before.Succeeded, after.Succeeded)
	t.Failed += gain(before.Failed, after.Failed)
	for i, n := range after.Latency {
		t.Latency[i] += gain(before.Latency[i], n)
	}
}

// gain returns how much a count grew; one that shrank grew by nothing.
func gain(before, after uint64) uint64 {
	if after < before {
		return 0
	}
	return after - before
}

// sumOwn adds what this entry has counted since the last look.
func (m *Mover) sumOwn() { m.addOwn(m.recorder.Changed()) }

func (m *Mover) addOwn(counts []ward.Counts) {
	for _, c := range counts {
		k := keyOf(c)
		before := m.ownSeen[k]
		if c.Succeeded+c.Failed > before.Succeeded+before.Failed {
			m.addToSum(k, before, c)
			m.ownSeen[k] = c
		}
	}
}

// sumAfresh works the sums out again after counts were dropped.
func (m *Mover) sumAfresh() {
	clear(m.sums)
	clear(m.ownSeen)
	for k, c := range m.merged {
		m.addToSum(k.key, ward.Counts{}, c)
	}
	m.addOwn(m.recorder.Counts())
}

func (m *Mover) total(k evidence.Key) analysis.Totals {
	if t := m.sums[k]; t != nil {
		return *t
	}
	return analysis.Totals{}
}

func keyOf(c ward.Counts) evidence.Key {
	return evidence.Key{Move: c.Move, Route: c.Route, Serves: c.Serves, Version: c.Version}
}

// sum returns the counts of a run over all entries and steps, one for each
// route and version, as evidence of an outcome.
func (m *Mover) sum(c *ward.Config, x ward.Move) []ward.Counts {
	const maxEvidence = 16
	name := evidence.RunName(x.Name, x.Ticket)
	sums := map[evidence.Key]analysis.Totals{}
	for k, t := range m.sums {
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
