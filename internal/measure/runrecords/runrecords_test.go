package runrecords

import "testing"

// TestSharedShardKeepsBudget: the real code under the real meter writes no more
// than the fleet's budget, and serves what that budget carries.
func TestSharedShardKeepsBudget(t *testing.T) {
	cases := []struct {
		rate    int
		refused float64
	}{
		{10, 0},
		{100, 0},
	}
	for _, c := range cases {
		o := simulate(1, today, c.rate, ways(chosenShards)[shared])
		if o.writes > writeBudget || o.refused > c.refused || o.p50 == 0 {
			t.Errorf("%d a second: %+v", c.rate, o)
		}
	}
}

func TestSameSeedSameFigures(t *testing.T) {
	for _, w := range ways(2) {
		if a, b := simulate(7, today, 10, w), simulate(7, today, 10, w); a != b {
			t.Errorf("%s: %+v and %+v", w.name, a, b)
		}
	}
}
