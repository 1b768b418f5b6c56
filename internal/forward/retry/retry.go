// Package retry provides the budget of repeated sends to a service, which all
// entries share: each entry takes its part of a fixed allowance and a ratio of
// the requests that it received itself.
//
// # Usage
//
//	b := retry.Budget{Ratio: 0.2, Slack: 52, Window: 10 * time.Second, Entries: 6}
//	b.Request("bookings", now)
//	if b.Take("bookings", now) {
//		// send once more
//	}
package retry

import "time"

// safety is the part of the allowance that is used: a window of the platform
// may lie across two of an entry's own.
const safety = 0.7

// Budget counts requests and repeats. A zero value allows no repeats.
type Budget struct {
	// Ratio is the number of repeats for each request, Slack the fixed number of
	// all entries together, both over Window.
	Ratio   float64
	Slack   float64
	Window  time.Duration
	Entries int

	services map[string]*counts
}

// counts holds the times of the last window, oldest first.
type counts struct {
	requests, repeats []time.Time
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
	c.repeats = since(c.repeats, now.Add(-b.Window))
	return c
}

func since(times []time.Time, from time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(from) {
		i++
	}
	return times[i:]
}

// Request counts the arrival of a caller's request.
func (b *Budget) Request(service string, now time.Time) {
	c := b.counts(service, now)
	c.requests = append(c.requests, now)
}

// Take counts a repeat, or tells that the budget is used up.
func (b *Budget) Take(service string, now time.Time) bool {
	c := b.counts(service, now)
	allowed := safety * (b.Ratio*float64(len(c.requests)) + b.Slack/float64(max(b.Entries, 1)))
	if float64(len(c.repeats)+1) > allowed {
		return false
	}
	c.repeats = append(c.repeats, now)
	return true
}
