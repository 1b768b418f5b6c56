package buffer

import (
	"testing"

	_ "agateward/internal/bench/seed"

	"pgregory.net/rapid"
)

// TestBudget guards against memory that grows beyond the bound under slow callers, against
// bytes that stay claimed, and against a size that is never granted.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 100
		var b Budget
		b.SetTotal(total, 0)
		var held []int
		sum := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				b.Release(held[i])
				sum -= held[i]
				held = append(held[:i], held[i+1:]...)
				continue
			}
			n := rapid.IntRange(0, 2*total).Draw(t, "bytes")
			fits := sum == 0 || sum+n <= total
			if got := b.Take(n); got != fits {
				t.Fatalf("%d bytes beside %d: granted %v, want %v", n, sum, got, fits)
			}
			if fits {
				held, sum = append(held, n), sum+n
			}
			if b.Used() != int64(sum) {
				t.Fatalf("%d bytes are counted, %d are held", b.Used(), sum)
			}
		}
	})
}
