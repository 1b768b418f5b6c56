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

// Guards against retries beyond the bound of all entries when processes are restarted: each one
// began with the whole share of its entry.
func TestRestartsStayWithinTheBound(t *testing.T) {
	const ratio, slack, window, entries = 0.2, 52, 10 * time.Second, 6
	start := time.Unix(1000, 0)
	cases := []struct {
		name  string
		first time.Duration
		every time.Duration
		times int
	}{
		{"five times, one second apart", 20 * time.Second, time.Second, 5},
		{"at the start", 0, 500 * time.Millisecond, 8},
		{"once in each window", 15 * time.Second, 9 * time.Second, 4},
		{"all the while", 12 * time.Second, 300 * time.Millisecond, 60},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var budgets [entries]Budget
			for i := range budgets {
				budgets[i] = Budget{Ratio: ratio, Slack: slack, Window: window, Entries: entries}
			}
			var requests, retries []time.Time
			restarts := 0
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
				if restarts < c.times && !now.Before(start.Add(c.first+time.Duration(restarts)*c.every)) {
					restarts++
					for i := range budgets {
						budgets[i] = Budget{Ratio: ratio, Slack: slack, Window: window, Entries: entries, Start: now}
					}
				}
				budgets[len(requests)%entries].Request("s", now)
				requests = append(requests, now)
				for i := range budgets {
					if budgets[i].Take("s", now) {
						retries = append(retries, now)
					}
				}
			}
			for _, from := range retries {
				to := from.Add(window)
				n, asked := len(within(retries, from, to)), len(within(requests, from, to))
				before := len(within(requests, from.Add(-window), from))
				if allowed := ratio*float64(max(asked, before)) + slack; float64(n) > allowed {
					t.Fatalf("%d retries in %v from %v, allowed %.0f", n, window, from.Sub(start), allowed)
				}
			}
			if len(retries) == 0 {
				t.Error("no retry was allowed")
			}
		})
	}
}

// within returns the times from from to to, without to.
func within(times []time.Time, from, to time.Time) []time.Time {
	list := since(times, from)
	for i, at := range list {
		if !at.Before(to) {
			return list[:i]
		}
	}
	return list
}

func TestZeroAllowsNone(t *testing.T) {
	var b Budget
	if b.Take("s", time.Unix(1000, 0)) {
		t.Error("a zero budget allows a retry")
	}
}
