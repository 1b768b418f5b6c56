package limit

import (
	"hash/fnv"
	"io"
)

const (
	// minRate is the least rate, in requests a second, at which a holder sends requests
	// whatever the limit: only an answer shows that it has ended.
	minRate = 0.2
	// holderRate is the part of a limit, in requests a second, that one entry holds; a
	// lower limit has one holder.
	holderRate = 2
	// Multipliers and shifts that mix a hash, so that similar names are spread evenly.
	mix1, mix2          = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	mixShift            = 33
	separator           = "\x00"
	defaultLeastHolders = 1
)

// Fleet is the set of entries that divide a limit.
type Fleet struct {
	Self string
	// Entries are the names of the entries that may hold a part, with Self if it may.
	Entries []string
	// Known is the number of entries of the fleet, including those that are not heard.
	Known int
	// LeastHolders is the least number of entries that hold a part, 0 for one. Entries of
	// which it is not known whether they run need more than one.
	LeastHolders int
}

// Part returns the part of this entry, in requests a second, of a limit that all entries
// together have at the process key of an upstream: 0, or at least minRate.
func (f Fleet) Part(key string, perSecond float64) float64 {
	holders := min(max(int(perSecond/holderRate), f.LeastHolders, defaultLeastHolders), len(f.Entries))
	own, before, member := weight(key, f.Self), 0, false
	for _, name := range f.Entries {
		if name == f.Self {
			member = true
			continue
		}
		if w := weight(key, name); w > own || w == own && name < f.Self {
			before++
		}
		if before >= holders {
			return 0
		}
	}
	if !member {
		return 0
	}
	heard := float64(len(f.Entries)) / float64(max(f.Known, len(f.Entries)))
	return max(perSecond/float64(holders)*heard, minRate)
}

// weight orders the entries for an upstream; that with the highest one holds its limit
// first. An entry that joins or leaves changes the holders of few upstreams.
func weight(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, key+separator+name) // writing to a hash never fails
	x := h.Sum64()
	x ^= x >> mixShift
	x *= mix1
	x ^= x >> mixShift
	x *= mix2
	return x ^ x>>mixShift
}
