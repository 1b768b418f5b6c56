package mover

import (
	"cmp"
	"slices"
	"strings"
	"time"

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
	t.Sent += increase(before.Sent, after.Sent)
	t.Void += increase(before.Void, after.Void)
	t.Succeeded += increase(before.Succeeded, after.Succeeded)
	t.Failed += increase(before.Failed, after.Failed)
	for i, n := range after.Latency {
		t.Latency[i] += increase(before.Latency[i], n)
	}
}

// grown reports whether counts are later ones than before.
func grown(before, after ward.Counts) bool {
	return sumOf([]ward.Counts{after}) > sumOf([]ward.Counts{before})
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
		if grown(before, c) {
			m.addToTotals(k, before, c)
			m.ownCounted[k] = c
		}
	}
}

// countsDue reports whether the record of a run is to be written for its counts alone.
func (m *Mover) countsDue(x ward.Move, s ward.MoveState, now time.Time, l *leaseState) bool {
	return now.Sub(l.counted) >= max(countsInterval, x.Deadline.Sub(s.Begin)/ticksPerWindow)
}

// recordCounts returns the counts of a run over all entries. If there are too many, those
// with the most outcomes are kept.
func (m *Mover) recordCounts(x ward.Move) []ward.Counts {
	name := evidence.RunName(x.Name, x.Ticket)
	list := m.recorder.Counts()
	for _, c := range m.peerCounts {
		list = append(list, c)
	}
	list = slices.DeleteFunc(list, func(c ward.Counts) bool { return evidence.RunOf(c.Move) != name })
	if len(list) > maxRecordCounts {
		slices.SortFunc(list, func(a, b ward.Counts) int { return cmp.Compare(sumOf([]ward.Counts{b}), sumOf([]ward.Counts{a})) })
		list = list[:maxRecordCounts]
	}
	slices.SortFunc(list, evidence.Compare)
	return list
}

// recordExpected returns the expected times of the routes of a move.
func (m *Mover) recordExpected(c *ward.Config, x ward.Move) []ward.ExpectedTime {
	routes := routesOf(c, x)
	return m.recorder.Expected(func(sizing string) bool {
		return strings.HasSuffix(sizing, "/"+x.Serves) || slices.ContainsFunc(routes, func(r ward.Route) bool { return r.Name == sizing })
	}, maxRecordExpected)
}

// sumOf returns the sum of all counts, which grows with each of them.
func sumOf(list []ward.Counts) (n uint64) {
	for _, c := range list {
		n += c.Sent + c.Void + c.Succeeded + c.Failed
	}
	return n
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
					Sent: t.Sent, Void: t.Void, Succeeded: t.Succeeded, Failed: t.Failed, Latency: t.Latency,
				})
			}
		}
	}
	return list
}
