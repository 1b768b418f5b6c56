package retry

import (
	"testing"
	"time"
)

// TestAllEntriesTogether checks that all entries together keep to the ratio and the
// slack when each retries as much as it may, with requests evenly spread or at one
// entry only.
func TestAllEntriesTogether(t *testing.T) {
	cases := []struct {
		name  string
		entry func(i int) int
	}{
		{"even", func(i int) int { return i % 6 }},
		{"one entry gets all", func(int) int { return 2 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const ratio, slack, window = 0.2, 52, 10 * time.Second
			budgets := make([]Budget, 6)
			for i := range budgets {
				budgets[i] = Budget{Ratio: ratio, Slack: slack, Window: window, Entries: 6}
			}
			now := time.Unix(1000, 0)
			var requests, retries []time.Time
			for i := range 3000 {
				now = now.Add(10 * time.Millisecond)
				b := &budgets[c.entry(i)]
				b.Request("s", now)
				requests = append(requests, now)
				for k := range budgets {
					if budgets[k].Take("s", now) {
						retries = append(retries, now)
					}
				}
			}
			for i, from := range retries {
				to, n := from.Add(window), 0
				for _, at := range retries[i:] {
					if at.Before(to) {
						n++
					}
				}
				asked := 0
				for _, at := range requests {
					if !at.Before(from) && at.Before(to) {
						asked++
					}
				}
				if allowed := ratio*float64(asked) + slack; asked > 900 && float64(n) > allowed {
					t.Fatalf("%d retries in %v, allowed %.0f", n, window, allowed)
				}
			}
		})
	}
}

func TestZeroAllowsNone(t *testing.T) {
	var b Budget
	if b.Take("s", time.Unix(1000, 0)) {
		t.Error("a zero budget allows a retry")
	}
}
