package prefix_test

import (
	"slices"
	"testing"

	"agateward/internal/request/prefix"

	"pgregory.net/rapid"
)

// TestMatchReportsOnlyStoredBlocks compares the index with a plain set: no
// upstream is reported for a block that it never stored or has dropped, and the
// newest holder of the longest match comes first.
func TestMatchReportsOnlyStoredBlocks(t *testing.T) {
	type key struct {
		hash uint64
		at   int
	}
	rapid.Check(t, func(t *rapid.T) {
		var x prefix.Index
		stored := map[key]bool{}
		newest := map[uint64]int{}
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			k := key{rapid.Uint64Range(0, 5).Draw(t, "hash"), rapid.IntRange(0, 6).Draw(t, "upstream")}
			if rapid.Bool().Draw(t, "store") {
				x.Store(k.hash, k.at)
				stored[k] = true
				newest[k.hash] = k.at
				continue
			}
			x.Drop(k.hash, k.at)
			delete(stored, k)
			if newest[k.hash] == k.at {
				delete(newest, k.hash)
			}
		}
		blocks := []uint64{0, 1, 2, 3, 4, 5}
		var reported []int
		x.Match(blocks, func(u, n int) bool {
			if !stored[key{blocks[n-1], u}] {
				t.Fatalf("upstream %d is reported for block %d, which it does not have", u, n-1)
			}
			if at, ok := newest[blocks[n-1]]; ok && len(reported) == 0 && at != u {
				t.Fatalf("upstream %d is reported first for block %d, the newest holder is %d", u, n-1, at)
			}
			if slices.Contains(reported, u) {
				t.Fatalf("upstream %d is reported twice", u)
			}
			reported = append(reported, u)
			return true
		})
		if len(stored) > 0 && len(newest) > 0 && len(reported) == 0 {
			t.Fatal("no upstream is reported though some have a block")
		}
	})
}
