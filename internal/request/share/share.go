// Package share computes which share of each upstream each entry owns.
//
// Two partitions of the same interval are compared: one into entries, in
// proportion to their weights, and one into upstreams, in proportion to their
// rates. An entry's share of an upstream is the overlap of their subintervals.
// So nearly every upstream is used by one or two entries, which know what they
// sent; no entry needs more than a few upstreams, whatever the size of the
// fleet; and all entries compute the same shares from the same view without
// asking one another. Entries and upstreams are sorted by data centre first,
// which keeps most shares within one.
//
// # Usage
//
//	var l share.Line
//	p.Reset()
//	p.AddEntry(share.Entry{Name: "entry-1", Weight: 1})
//	p.AddUpstream(share.Upstream{Name: "engine-1", Rate: 9000})
//	shares := p.Shares("entry-1") // in the order of p.Upstreams
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

// Upstream is one upstream and its rate. All rates are in the same unit.
type Upstream struct {
	Name       string
	DataCentre string
	Rate       float64
}

// Partition holds the entries and upstreams. Its zero value is empty; Reset
// empties it and keeps its memory.
type Partition struct {
	entries   []Entry
	upstreams []Upstream
	shares    []float64
}

// Reset empties the partition.
func (p *Partition) Reset() {
	p.entries = p.entries[:0]
	p.upstreams = p.upstreams[:0]
}

// AddEntry adds an entry.
func (p *Partition) AddEntry(e Entry) { p.entries = append(p.entries, e) }

// AddUpstream adds an upstream. The order of the calls does not matter.
func (p *Partition) AddUpstream(u Upstream) { p.upstreams = append(p.upstreams, u) }

// Upstreams returns the upstreams in the order of Shares.
func (p *Partition) Upstreams() []Upstream { return p.upstreams }

// Shares returns the entry's share of each upstream, from 0 to 1. The slice is
// valid until the next call.
func (p *Partition) Shares(self string) []float64 {
	slices.SortFunc(p.entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(p.upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	from, to := p.interval(self)
	total := 0.0
	for _, u := range p.upstreams {
		total += u.Rate
	}
	p.shares = p.shares[:0]
	at := 0.0
	for _, u := range p.upstreams {
		length := u.Rate / total
		overlap := min(to, at+length) - max(from, at)
		share := 0.0
		if length > 0 && overlap > 0 {
			share = min(1, overlap/length)
		}
		p.shares = append(p.shares, share)
		at += length
	}
	return p.shares
}

// interval returns the entry's subinterval of [0, 1].
func (p *Partition) interval(self string) (from, to float64) {
	total := 0.0
	for _, e := range p.entries {
		total += e.Weight
	}
	at := 0.0
	for _, e := range p.entries {
		next := at + e.Weight/total
		if e.Name == self {
			return at, next
		}
		at = next
	}
	return 0, 0
}
