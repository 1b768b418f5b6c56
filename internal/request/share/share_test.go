package share_test

import (
	"fmt"
	"math"
	"testing"

	_ "agateward/internal/bench/seed"
	"agateward/internal/request/share"

	"pgregory.net/rapid"
)

// TestSharesAddUpToOne checks that the shares of all entries with the same view
// add up to 1 for every upstream.
func TestSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 10), 1, 12).Draw(t, "weights")
		rates := rapid.SliceOfN(rapid.Float64Range(1, 10), 1, 30).Draw(t, "rates")
		sums := make([]float64, len(rates))
		var p share.Partition
		for self := range weights {
			p.Reset()
			for i, w := range weights {
				p.AddEntry(share.Entry{Name: fmt.Sprintf("e%02d", i), DataCentre: fmt.Sprint(i % 3), Weight: w})
			}
			for i, r := range rates {
				p.AddUpstream(share.Upstream{Name: fmt.Sprintf("u%02d", i), DataCentre: fmt.Sprint(i % 3), Rate: r})
			}
			for i, s := range p.Shares(fmt.Sprintf("e%02d", self)) {
				sums[i] += s
			}
		}
		for i, sum := range sums {
			if math.Abs(sum-1) > 1e-6 {
				t.Fatalf("the shares of upstream %d add up to %g", i, sum)
			}
		}
	})
}
