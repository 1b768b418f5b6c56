// Package prefix provides what is known of the prompt prefixes that upstreams
// have cached: from the prompts that were sent to them, and from their cache
// events, which come late and with gaps. What it says is a hint.
//
// # Usage
//
//	var x prefix.Index
//	x.Store(hash, 7)
//	x.Match(r.Prefix, func(upstream, blocks int) bool { ...; return true })
//
// Memory is bounded: the index holds two generations of blocks, and a block that
// was in neither use nor an event for a whole generation is forgotten.
package prefix

// Bounds of an index.
const (
	// generation is the number of blocks after which the older half is dropped.
	generation = 32_768
	// copies is the number of upstreams that are remembered for a block.
	copies = 4
)

// Index maps the hash of a leading block to the upstreams that have it. Its zero
// value is empty and ready to use. Upstreams are small numbers from 0.
type Index struct {
	young, old map[uint64]holders
}

// holders are upstream numbers plus one, the newest first.
type holders [copies]uint16

// Store takes note that an upstream has a block.
func (x *Index) Store(hash uint64, upstream int) {
	if x.young == nil {
		x.young = make(map[uint64]holders)
	}
	h := x.find(hash)
	id := uint16(upstream + 1)
	if h[0] != id {
		last := id
		for i := range h {
			h[i], last = last, h[i]
			if last == id || last == 0 {
				break
			}
		}
	}
	x.young[hash] = h
	if len(x.young) >= generation {
		x.old = x.young
		x.young = make(map[uint64]holders, generation)
	}
}

// Drop takes note that an upstream has a block no more.
func (x *Index) Drop(hash uint64, upstream int) {
	h := x.find(hash)
	id := uint16(upstream + 1)
	kept := holders{}
	n := 0
	for _, v := range h {
		if v != id && v != 0 {
			kept[n] = v
			n++
		}
	}
	if kept == h {
		return
	}
	delete(x.old, hash)
	delete(x.young, hash)
	if n > 0 {
		x.young[hash] = kept
	}
}

// Match calls f for the upstreams that have a part of the prefix, the longest
// part first and each upstream once, until f returns false or some were told.
func (x *Index) Match(prefix []uint64, f func(upstream, blocks int) bool) {
	var told holders
	n := 0
	for i := len(prefix) - 1; i >= 0; i-- {
		for _, v := range x.find(prefix[i]) {
			if v == 0 {
				break
			}
			if told.has(v) {
				continue
			}
			if !f(int(v)-1, i+1) || n+1 >= copies {
				return
			}
			told[n] = v
			n++
		}
	}
}

func (x *Index) find(hash uint64) holders {
	if h, ok := x.young[hash]; ok {
		return h
	}
	return x.old[hash]
}

func (h holders) has(id uint16) bool {
	for _, v := range h {
		if v == id {
			return true
		}
	}
	return false
}
