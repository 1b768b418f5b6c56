// Package share provides which part of each upstream belongs to which entry.
//
// Entries and upstreams are laid side by side on one line, entries as long as
// their weight and upstreams as long as their rate. An entry owns of each
// upstream what lies beside it. So nearly every upstream is fed by one or two
// entries that know what they sent, no entry needs more than a few upstreams
// whatever the size of the fleet, and all entries compute the same parts from
// the same view without asking one another. Both sides are sorted by data
// centre first, which keeps most parts within one.
//
// # Usage
//
//	var l share.Line
//	l.Reset()
//	l.Entry(share.Entry{Name: "entry-1", Weight: 1})
//	l.Upstream(share.Upstream{Name: "engine-1", Rate: 9000})
//	parts := l.Parts("entry-1") // in the order of l.Upstreams
package share

import (
	"cmp"
	"slices"
)

// Entry is one live entry and its weight.
type Entry struct {
	Name       string
	DataCentre string
	Weight     float64
}

// Upstream is one upstream and its rate, in any unit that all share.
type Upstream struct {
	Name       string
	DataCentre string
	Rate       float64
}

// Line lays out entries and upstreams. Its zero value is empty; Reset makes it
// empty again and keeps its memory.
type Line struct {
	entries   []Entry
	upstreams []Upstream
	parts     []float64
}

// Reset empties the line.
func (l *Line) Reset() {
	l.entries = l.entries[:0]
	l.upstreams = l.upstreams[:0]
}

// Entry adds an entry.
func (l *Line) Entry(e Entry) { l.entries = append(l.entries, e) }

// Upstream adds an upstream. Those of one line are added in any order.
func (l *Line) Upstream(u Upstream) { l.upstreams = append(l.upstreams, u) }

// Upstreams returns the upstreams in the order of Parts.
func (l *Line) Upstreams() []Upstream { return l.upstreams }

// Parts returns the entry's part of each upstream, from 0 to 1. It is valid
// until the next call.
func (l *Line) Parts(self string) []float64 {
	slices.SortFunc(l.entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(l.upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	from, to := l.interval(self)
	total := 0.0
	for _, u := range l.upstreams {
		total += u.Rate
	}
	l.parts = l.parts[:0]
	at := 0.0
	for _, u := range l.upstreams {
		length := u.Rate / total
		overlap := min(to, at+length) - max(from, at)
		part := 0.0
		if length > 0 && overlap > 0 {
			part = min(1, overlap/length)
		}
		l.parts = append(l.parts, part)
		at += length
	}
	return l.parts
}

// interval returns where an entry begins and ends on a line of length 1.
func (l *Line) interval(self string) (from, to float64) {
	total := 0.0
	for _, e := range l.entries {
		total += e.Weight
	}
	at := 0.0
	for _, e := range l.entries {
		next := at + e.Weight/total
		if e.Name == self {
			return at, next
		}
		at = next
	}
	return 0, 0
}
