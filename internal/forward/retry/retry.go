// Package retry provides the retry budget of each service, shared by all entries.
// Each entry may use its share of a fixed allowance, and a ratio of the requests that
// it received itself. A process that replaces another one of its entry does not know what
// that one used, so it gets its share of the fixed allowance bit by bit.
//
// # Usage
//
//	b := retry.Budget{Ratio: 0.2, Slack: 52, Window: 10 * time.Second, Entries: 6}
//	b.Request("bookings", now)
//	if b.Take("bookings", now) {
//		// send again
//	}
package retry

import "time"

// safety is the fraction of the allowance that is used, as a window of the platform
// may overlap two windows of an entry.
const safety = 0.7

// startWindows is the number of windows after which a process that replaces another one has
// its whole share of the fixed allowance.
const startWindows = 2

// Budget counts requests and retries. The zero value allows no retries.
type Budget struct {
	// Ratio is the number of retries per request, Slack the fixed number of retries of
	// all entries together, both over Window. Entries is the number of entries.
	Ratio   float64
	Slack   float64
	Window  time.Duration
	Entries int
	// Start is when this process replaced an earlier one of its entry, zero if there was
	// none.
	Start time.Time

	services map[string]*counts
}

// counts holds the times of the requests and retries in the last window, oldest first.
type counts struct {
	requests, retries []time.Time
}

func (b *Budget) counts(service string, now time.Time) *counts {
	if b.services == nil {
		b.services = make(map[string]*counts)
	}
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	c.requests = since(c.requests, now.Add(-b.Window))
	c.retries = since(c.retries, now.Add(-b.Window))
	return c
}

// since drops the times before from.
func since(times []time.Time, from time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(from) {
		i++
	}
	return times[i:]
}

// Request counts a caller's request.
func (b *Budget) Request(service string, now time.Time) {
	c := b.counts(service, now)
	c.requests = append(c.requests, now)
}

// Allows reports whether the budget allows a retry now.
func (b *Budget) Allows(service string, now time.Time) bool {
	c := b.counts(service, now)
	allowed := safety * (b.Ratio*float64(len(c.requests)) + b.share(now))
	return float64(len(c.retries)+1) <= allowed
}

// share returns this entry's share of the fixed allowance.
func (b *Budget) share(now time.Time) float64 {
	share := b.Slack / float64(max(b.Entries, 1))
	if full := startWindows * b.Window; !b.Start.IsZero() && now.Sub(b.Start) < full {
		share *= max(now.Sub(b.Start).Seconds(), 0) / full.Seconds()
	}
	return share
}

// Take counts a retry and returns true, or returns false if the budget is exhausted.
func (b *Budget) Take(service string, now time.Time) bool {
	if !b.Allows(service, now) {
		return false
	}
	c := b.counts(service, now)
	c.retries = append(c.retries, now)
	return true
}
