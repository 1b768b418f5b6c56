package runrecords

import "testing"

// TestSharedShardKeepsBudget checks that the shared shard, with the real call
// meter, stays within the fleet's write budget and refuses no request at rates
// that the budget allows.
func TestSharedShardKeepsBudget(t *testing.T) {
	cases := []struct {
		rate    int
		refused float64
	}{
		{10, 0},
		{100, 0},
	}
	for _, c := range cases {
		o := simulate(1, currentEntries, c.rate, strategies(chosenShards)[sharedIndex])
		if o.writes > writeBudget || o.refused > c.refused || o.p50 == 0 {
			t.Errorf("%d a second: %+v", c.rate, o)
		}
	}
}

func TestSameSeedSameFigures(t *testing.T) {
	for _, w := range strategies(2) {
		if a, b := simulate(7, currentEntries, 10, w), simulate(7, currentEntries, 10, w); a != b {
			t.Errorf("%s: %+v and %+v", w.name, a, b)
		}
	}
}
