package ledger

import (
	"fmt"
	"sort"
	"time"
)

// Bounds are the stated limits that the ledger checks.
type Bounds struct {
	// Recovery is the time after a disturbance in which no time bound is checked.
	Recovery time.Duration
	// Config is the time within which a new configuration version must be in force.
	// StaleConfig is how long a process may still use an older version after a newer
	// one. Drain is the time after which a draining upstream must receive no more
	// requests. LateAnswer is how long after the time-out an answer may come.
	Config, StaleConfig, Drain, LateAnswer time.Duration
	// A planned stop may cut an answer in the last sixth of Grace, the time that an entry
	// has to stop, if its request was sent no later than EarlyRequest after the signal. No
	// stop may if Grace is 0.
	Grace, EarlyRequest time.Duration
	// LossSlack is how long after its last byte a request that did not run may lose its
	// connection: it may not have been read.
	LossSlack time.Duration
	// Quotas are the quotas by team. Over QuotaWindow a team may exceed its quota by
	// the share QuotaOvershoot and QuotaSlack requests.
	Quotas         map[string]Quota
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// RetryRatio and RetrySlack bound the retries at a service over RetryWindow, as a
	// share of its requests and as a number of requests.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Contact is the time after which a crash under a part of a prompt, or under a request
	// that comes again, is known, and after which a disturbance of an entry or of the store
	// excuses no requests with it. Later than Contact after crash Crashes under a part, or
	// RequestCrashes under a request, at most CrashRequests requests with it may reach
	// upstreams.
	Contact                                time.Duration
	Crashes, RequestCrashes, CrashRequests int
	// From 2 * Contact after that crash, sound requests that share the key and other parts
	// are served at least SoundShare times as often as before the first crash, each counted
	// over SoundRequests requests or more.
	SoundShare    float64
	SoundRequests int
}

// Quota is the quota of one team: Rate in requests per second, Burst in requests.
type Quota struct{ Rate, Burst float64 }

// DefaultBounds returns the bounds that the platform's pages state for the
// deployments in use. Quotas are not set, because they depend on the teams.
func DefaultBounds() Bounds {
	return Bounds{
		Recovery: 4 * time.Second, Config: 3 * time.Second, StaleConfig: 250 * time.Millisecond,
		Drain: 3 * time.Second, LateAnswer: 500 * time.Millisecond, EarlyRequest: 3 * time.Second, LossSlack: 200 * time.Millisecond,
		QuotaWindow: 8 * time.Second, QuotaOvershoot: 0.1,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second,
		Contact: 3 * time.Second, Crashes: 5, RequestCrashes: 3, CrashRequests: 3, SoundShare: 0.5, SoundRequests: 20,
	}
}

// quotaFindings checks the quota of each team over every window.
func (l *Ledger) quotaFindings() []Finding {
	var out []Finding
	for team, q := range l.Bounds.Quotas {
		var at []time.Time
		for _, r := range l.order {
			if r.Team == team && len(r.runs) > 0 {
				at = append(at, r.runs[0])
			}
		}
		allowed := (q.Rate*l.Bounds.QuotaWindow.Seconds()+q.Burst)*(1+l.Bounds.QuotaOvershoot) + l.Bounds.QuotaSlack
		if n, end := maxInWindow(at, l.Bounds.QuotaWindow); float64(n) > allowed {
			out = append(out, Finding{Promise: "quota", ID: team, At: end, What: fmt.Sprintf("%d requests in %s, allowed are %.0f", n, l.Bounds.QuotaWindow, allowed)})
		}
	}
	return out
}

// retryFindings checks the retries, which are all runs but the first of a request, by
// service.
func (l *Ledger) retryFindings() []Finding {
	sent, retries := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, r := range l.order {
		sent[r.Service] = append(sent[r.Service], r.Sent)
		if len(r.runs) > 1 {
			retries[r.Service] = append(retries[r.Service], r.runs[1:]...)
		}
	}
	var out []Finding
	for service, at := range retries {
		sortTimes(at)
		for i, from := range at {
			end := from.Add(l.Bounds.RetryWindow)
			n := sort.Search(len(at), func(k int) bool { return at[k].After(end) }) - i
			// The retries may belong to requests of the preceding window.
			requests := max(countBetween(sent[service], from, end), countBetween(sent[service], from.Add(-l.Bounds.RetryWindow), from))
			if allowed := l.Bounds.RetryRatio*float64(requests) + l.Bounds.RetrySlack; float64(n) > allowed {
				out = append(out, Finding{Promise: "repeats", ID: service, At: end, What: fmt.Sprintf("%d retries for %d requests in %s, allowed are %.0f", n, requests, l.Bounds.RetryWindow, allowed)})
				break
			}
		}
	}
	return out
}

func sortTimes(at []time.Time) {
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
}

func countBetween(at []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// maxInWindow returns the maximum number of times in a window of length d, and the end
// of that window.
func maxInWindow(at []time.Time, d time.Duration) (int, time.Time) {
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
