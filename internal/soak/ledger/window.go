package ledger

import (
	"fmt"
	"sort"
	"time"
)

// Bounds are the stated targets that the ledger checks.
type Bounds struct {
	// Contact is how long after a disturbance no bound in time holds.
	Contact time.Duration
	// Config is the time within which a version is in force, Rollback how long an
	// older one may still be seen after it, Drain the time after which a leaving
	// upstream gets nothing, Held the time past a time-out.
	Config, Rollback, Drain, Held time.Duration
	// Quotas are the requests of teams over QuotaWindow, with QuotaOvershoot as a
	// part and QuotaSlack as a number beyond.
	Quotas         map[string]Quota
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// RepeatRatio and RepeatSlack bound the repeats at a service over RepeatWindow.
	RepeatRatio, RepeatSlack float64
	RepeatWindow             time.Duration
}

// Quota is the quota of one team, in requests.
type Quota struct{ Rate, Burst float64 }

// DefaultBounds returns the bounds of the platform's pages for the deployments in
// use; quotas are those of the soak's teams.
func DefaultBounds() Bounds {
	return Bounds{
		Contact: 4 * time.Second, Config: 3 * time.Second, Rollback: 250 * time.Millisecond,
		Drain: 3 * time.Second, Held: 500 * time.Millisecond,
		QuotaWindow: 8 * time.Second, QuotaOvershoot: 0.1,
		RepeatRatio: 0.2, RepeatWindow: 10 * time.Second,
	}
}

// quotas checks each window of each team.
func (l *Ledger) quotas() []Finding {
	var out []Finding
	for team, q := range l.Bounds.Quotas {
		var at []time.Time
		for _, r := range l.order {
			if r.Team == team && len(r.runs) > 0 {
				at = append(at, r.runs[0])
			}
		}
		most := (q.Rate*l.Bounds.QuotaWindow.Seconds()+q.Burst)*(1+l.Bounds.QuotaOvershoot) + l.Bounds.QuotaSlack
		if n, end := densest(at, l.Bounds.QuotaWindow); float64(n) > most {
			out = append(out, Finding{Promise: "quota", ID: team, At: end, What: fmt.Sprintf("%d requests in %s, at most %.0f", n, l.Bounds.QuotaWindow, most)})
		}
	}
	return out
}

// repeats checks the runs beyond the first of each request, by service.
func (l *Ledger) repeats() []Finding {
	first, again := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, r := range l.order {
		first[r.Service] = append(first[r.Service], r.Sent)
		if len(r.runs) > 1 {
			again[r.Service] = append(again[r.Service], r.runs[1:]...)
		}
	}
	var out []Finding
	for service, at := range again {
		sortTimes(at)
		for i, from := range at {
			end := from.Add(l.Bounds.RepeatWindow)
			n := sort.Search(len(at), func(k int) bool { return at[k].After(end) }) - i
			// The window of the requests may be the one before.
			asked := max(within(first[service], from, end), within(first[service], from.Add(-l.Bounds.RepeatWindow), from))
			if most := l.Bounds.RepeatRatio*float64(asked) + l.Bounds.RepeatSlack; float64(n) > most {
				out = append(out, Finding{Promise: "repeats", ID: service, At: end, What: fmt.Sprintf("%d repeats for %d requests in %s, at most %.0f", n, asked, l.Bounds.RepeatWindow, most)})
				break
			}
		}
	}
	return out
}

func sortTimes(at []time.Time) {
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
}

func within(at []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// densest returns the largest number of times within d, and the end of that span.
func densest(at []time.Time, d time.Duration) (int, time.Time) {
	sortTimes(at)
	most, end, first := 0, time.Time{}, 0
	for i, t := range at {
		for t.Sub(at[first]) > d {
			first++
		}
		if n := i - first + 1; n > most {
			most, end = n, t
		}
	}
	return most, end
}
