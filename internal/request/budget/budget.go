// Package budget provides what one upstream may hold at a time: requests in
// flight and prompt tokens that wait for their prefill. It is found from the
// rates that are observed, follows an upstream that slows down or recovers, and
// is divided over the live entries without a coordinator.
//
// # Usage
//
//	var b budget.Budget
//	b.Divide(now, part, guest)
//	if b.Fits(now, inFlight, ahead) {
//		b.Spend(now, r.PromptTokens)
//		// dispatch; then tell what came back:
//		b.FirstToken(now, tokensAhead, took)
//		b.Tokens(now, n, took)
//	}
//
// Engines admit whatever arrives, so everything beyond the budget waits in the
// entry, where order and cancellation still cost nothing.
package budget

import (
	"math"
	"time"

	"agateward/ward"
)

// Values that an unknown upstream starts with, and bounds.
const (
	firstPrefillRate = 10_000 // tokens a second
	firstTokenTime   = 30 * time.Millisecond
	firstInFlight    = 64
	leastInFlight    = 2
	mostInFlight     = 512
	// targetTokenTime is the time between tokens above which the batch is made
	// smaller.
	targetTokenTime = 60 * time.Millisecond
	// idleBelow is the backlog of prompts, in time, below which the pace rises, at
	// the most by mostBoost.
	idleBelow = 400 * time.Millisecond
	mostBoost = 0.5
	// memory is the time after which an observation counts 1/e.
	memory = 3 * time.Second
	// growth is how much an entry's part may grow in a second.
	growth = 2.0
)

// Budget is the budget of one upstream at one entry. Its zero value is that of
// an upstream which nothing is known of.
type Budget struct {
	prefill ratio // tokens over seconds
	decode  ratio // seconds over tokens
	limit   float64
	part    float64
	guest   float64
	divided time.Time
	adapted time.Time
	slots   float64
	debt    float64
	paid    time.Time
	backlog float64
}

// ratio is a quotient of two decaying sums.
type ratio struct {
	above, below float64
	at           time.Time
}

func (r *ratio) add(now time.Time, above, below float64) {
	if d := now.Sub(r.at); d > 0 {
		keep := math.Exp(-float64(d) / float64(memory))
		r.above *= keep
		r.below *= keep
		r.at = now
	}
	r.above += above
	r.below += below
}

func (r *ratio) value(otherwise float64) float64 {
	if r.below <= 0 || r.above <= 0 {
		return otherwise
	}
	return r.above / r.below
}

// PrefillRate returns the observed prompt tokens a second.
func (b *Budget) PrefillRate() float64 { return b.prefill.value(firstPrefillRate) }

// TokenTime returns the observed time between two output tokens.
func (b *Budget) TokenTime() time.Duration {
	return time.Duration(b.decode.value(firstTokenTime.Seconds()) * float64(time.Second))
}

// Known returns the observed rate, or 0 when nothing was observed lately.
func (b *Budget) Known(now time.Time) float64 {
	if b.prefill.below == 0 || now.Sub(b.prefill.at) > 2*memory {
		return 0
	}
	return b.PrefillRate()
}

// FirstToken learns from a first token that took so long, with tokens of
// prefill (its own among them) to be computed before it.
func (b *Budget) FirstToken(now time.Time, tokens int, took time.Duration) {
	b.prefill.add(now, float64(max(tokens, 1)), took.Seconds())
}

// Tokens learns from n output tokens that took so long.
func (b *Budget) Tokens(now time.Time, n int, took time.Duration) {
	if n > 0 {
		b.decode.add(now, took.Seconds(), float64(n))
	}
}

// Report learns the size of the batch from a load report: what waits inside the
// upstream shows that its batch is full.
func (b *Budget) Report(r ward.LoadReport) {
	switch {
	case r.Waiting > 0 && r.Running > 0:
		b.slots = float64(r.Running)
	case float64(r.Running) > b.slots && b.slots > 0:
		b.slots = float64(r.Running)
	}
}

// Adapt moves the limit of requests in flight towards what the observed time
// between tokens supports. inFlight is the fleet's, as far as it is known.
func (b *Budget) Adapt(now time.Time, inFlight int) {
	const period = 250 * time.Millisecond
	if b.limit == 0 {
		b.limit = firstInFlight
	}
	if now.Sub(b.adapted) < period {
		return
	}
	b.adapted = now
	tokenTime := b.TokenTime()
	switch {
	case tokenTime > targetTokenTime:
		b.limit = max(b.limit*0.95, float64(inFlight)*float64(targetTokenTime)/float64(tokenTime))
	case float64(inFlight) > 0.8*b.limit:
		b.limit *= 1.05
	}
	if b.slots > 0 {
		b.limit = min(b.limit, b.slots)
	}
	b.limit = min(max(b.limit, leastInFlight), mostInFlight)
}

// Limit returns the requests that the whole fleet may have in flight.
func (b *Budget) Limit() float64 {
	if b.limit == 0 {
		return firstInFlight
	}
	return b.limit
}

// Part returns this entry's part of the budget, from 0 to 1.
func (b *Budget) Part() float64 { return b.part }

// Divide sets this entry's part, and the small part that it may use as a guest of
// other entries. A part shrinks at once and grows by at most
// growth a second: when views are d old, the parts of an upstream that k entries
// lay claim to stay together below 1 + k*growth*d.
func (b *Budget) Divide(now time.Time, want, guest float64) {
	b.guest = guest
	if b.divided.IsZero() || want <= b.part {
		b.part = want
	} else {
		b.part = min(want, b.part+growth*now.Sub(b.divided).Seconds())
	}
	b.divided = now
}

// Fits tells whether one more request may be handed over when this entry has so
// many in flight there. ahead is how far the entry may run before its pace.
func (b *Budget) Fits(now time.Time, inFlight int, ahead time.Duration) bool {
	if b.part <= 0 || float64(inFlight+1) > max(1, b.Limit()*b.part) {
		return false
	}
	return b.owed(now) <= ahead.Seconds()*b.PrefillRate()*b.part
}

// FitsGuest tells whether one more request may be handed over as a guest, when so
// many are in flight there from all entries.
func (b *Budget) FitsGuest(now time.Time, inFlight int) bool {
	return float64(inFlight+1) <= b.Limit() && b.owed(now) <= 0
}

// Spend counts prompt tokens that are handed over against the pace.
func (b *Budget) Spend(now time.Time, tokens int) {
	b.debt = b.owed(now) + float64(tokens)
	b.paid = now
}

// owed returns the prompt tokens that were handed over beyond the entry's part
// of the prefill rate.
func (b *Budget) owed(now time.Time) float64 {
	if b.debt == 0 {
		return 0
	}
	return max(0, b.debt-b.PrefillRate()*max(b.part, b.guest)*b.boost()*now.Sub(b.paid).Seconds())
}

// boost is the factor by which debts are paid sooner while the upstream seems
// to run out of prompts.
func (b *Budget) boost() float64 {
	target := b.PrefillRate() * idleBelow.Seconds()
	return 1 + mostBoost*max(0, 1-b.backlog/target)
}

// Backlog tells the prompt tokens that wait in the upstream for all entries, as
// far as they are known.
func (b *Budget) Backlog(now time.Time, tokens int) {
	b.debt = b.owed(now)
	b.paid = now
	b.backlog = float64(tokens)
}

// FirstTokenIn returns the expected time to the first token with so many prompt
// tokens to compute before it.
func (b *Budget) FirstTokenIn(tokens float64) time.Duration {
	return time.Duration(tokens / b.PrefillRate() * float64(time.Second))
}
