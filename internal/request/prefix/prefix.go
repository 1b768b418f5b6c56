// Package prefix tracks which prompt prefixes the upstreams have cached. It
// learns this from the prompts that were sent to them and from their cache
// events, which arrive late and with gaps, so the results are only hints.
//
// # Usage
//
//	var x prefix.Index
//	x.Store(hash, 7)
//	x.Match(r.Prefix, func(upstream, blocks int) bool { ...; return true })
//
// Memory is bounded: the index holds two generations of blocks. A block that was
// not stored again for a whole generation is evicted.
package prefix

// Bounds of an index.
const (
	// generationSize is the number of blocks after which the previous generation is
	// dropped.
	generationSize = 32_768
	// maxHolders is the number of upstreams that are kept for a block.
	maxHolders = 4
)

// Index maps the hash of a leading block to the upstreams that have cached it.
// Its zero value is empty and ready to use. Upstreams are identified by small
// numbers from 0.
type Index struct {
	current, previous map[uint64]holders
}

// holders are upstream numbers plus one, the newest first; 0 is an empty slot.
type holders [maxHolders]uint16

// Store records that an upstream has cached a block.
func (x *Index) Store(hash uint64, upstream int) {
	if x.current == nil {
		x.current = make(map[uint64]holders)
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
	x.current[hash] = h
	if len(x.current) >= generationSize {
		x.previous = x.current
		x.current = make(map[uint64]holders, generationSize)
	}
}

// Drop records that an upstream no longer has a block.
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
	delete(x.previous, hash)
	delete(x.current, hash)
	if n > 0 {
		x.current[hash] = kept
	}
}

// Match calls f for upstreams that have cached leading blocks of the prefix, the
// longest match first and each upstream once, until f returns false or
// maxHolders upstreams were reported.
func (x *Index) Match(prefix []uint64, f func(upstream, blocks int) bool) {
	var reported holders
	n := 0
	for i := len(prefix) - 1; i >= 0; i-- {
		for _, v := range x.find(prefix[i]) {
			if v == 0 {
				break
			}
			if reported.contains(v) {
				continue
			}
			if !f(int(v)-1, i+1) || n+1 >= maxHolders {
				return
			}
			reported[n] = v
			n++
		}
	}
}

func (x *Index) find(hash uint64) holders {
	if h, ok := x.current[hash]; ok {
		return h
	}
	return x.previous[hash]
}

func (h holders) contains(id uint16) bool {
	for _, v := range h {
		if v == id {
			return true
		}
	}
	return false
}
