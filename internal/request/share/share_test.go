package share_test

import (
	"fmt"
	"math"
	"testing"

	_ "agateward/internal/bench/seed"
	"agateward/internal/request/share"

	"pgregory.net/rapid"
)

// TestPartsAddUp shows that entries with the same view divide every upstream
// wholly and only once.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 10), 1, 12).Draw(t, "weights")
		rates := rapid.SliceOfN(rapid.Float64Range(1, 10), 1, 30).Draw(t, "rates")
		sums := make([]float64, len(rates))
		var l share.Line
		for self := range weights {
			l.Reset()
			for i, w := range weights {
				l.Entry(share.Entry{Name: fmt.Sprintf("e%02d", i), DataCentre: fmt.Sprint(i % 3), Weight: w})
			}
			for i, r := range rates {
				l.Upstream(share.Upstream{Name: fmt.Sprintf("u%02d", i), DataCentre: fmt.Sprint(i % 3), Rate: r})
			}
			for i, p := range l.Parts(fmt.Sprintf("e%02d", self)) {
				sums[i] += p
			}
		}
		for i, sum := range sums {
			if math.Abs(sum-1) > 1e-6 {
				t.Fatalf("the parts of upstream %d add up to %g", i, sum)
			}
		}
	})
}
