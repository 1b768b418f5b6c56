// Package budget limits the load on one upstream: the requests in flight and the
// prompt tokens that wait for their prefill. The limits are derived from
// observed rates, so they follow an upstream that slows down or recovers. They
// are divided over the live entries without a coordinator.
//
// # Usage
//
//	var b budget.Budget
//	b.SetShare(now, share, spillover)
//	if b.Fits(now, inFlight, ahead) {
//		b.Spend(now, r.PromptTokens)
//		// Dispatch the request, then report its progress:
//		b.FirstToken(now, tokensAhead, took)
//		b.Tokens(now, n, took)
//	}
//
// Engines admit every request, so requests beyond the budget wait in the entry,
// where reordering and cancelling them costs nothing.
package budget

import (
	"math"
	"time"

	"agateward/ward"
)

// Defaults for an upstream without observations, and bounds.
const (
	defaultPrefillRate = 10_000 // tokens per second
	defaultTokenTime   = 30 * time.Millisecond
	initialInFlight    = 64
	minInFlight        = 2
	maxInFlight        = 512
	// targetTokenTime is the time between output tokens above which the limit of
	// requests in flight is reduced.
	targetTokenTime = 60 * time.Millisecond
	// idleBacklog is the prefill backlog, in time, below which the pace of
	// dispatches rises, by a factor of at most 1 + maxBoost.
	idleBacklog = 400 * time.Millisecond
	maxBoost    = 0.5
	// decayTime is the time constant of the exponential decay of observations.
	decayTime = 3 * time.Second
	// maxShareGrowth is the greatest increase of an entry's share per second.
	maxShareGrowth = 2.0
)

// Budget is the budget of one upstream at one entry. Its zero value is the
// budget of an upstream without observations.
type Budget struct {
	prefill    ratio // tokens over seconds
	decode     ratio // seconds over tokens
	limit      float64
	share      float64
	spillover  float64
	shareSetAt time.Time
	adaptedAt  time.Time
	batchSize  float64
	debt       float64
	debtAt     time.Time
	backlog    float64
}

// ratio is the quotient of two exponentially decaying sums.
type ratio struct {
	num, den float64
	at       time.Time
}

func (r *ratio) add(now time.Time, num, den float64) {
	if d := now.Sub(r.at); d > 0 {
		keep := math.Exp(-float64(d) / float64(decayTime))
		r.num *= keep
		r.den *= keep
		r.at = now
	}
	r.num += num
	r.den += den
}

func (r *ratio) value(fallback float64) float64 {
	if r.den <= 0 || r.num <= 0 {
		return fallback
	}
	return r.num / r.den
}

// PrefillRate returns the observed prompt tokens per second, or the default if
// there are no observations.
func (b *Budget) PrefillRate() float64 { return b.prefill.value(defaultPrefillRate) }

// TokenTime returns the observed time between two output tokens, or the default
// if there are no observations.
func (b *Budget) TokenTime() time.Duration {
	return time.Duration(b.decode.value(defaultTokenTime.Seconds()) * float64(time.Second))
}

// ObservedRate returns the observed prompt tokens per second, or 0 if there is no
// recent observation.
func (b *Budget) ObservedRate(now time.Time) float64 {
	if b.prefill.den == 0 || now.Sub(b.prefill.at) > 2*decayTime {
		return 0
	}
	return b.PrefillRate()
}

// FirstToken records the time to a first token. tokens is the number of prompt
// tokens computed before it, those of the request included.
func (b *Budget) FirstToken(now time.Time, tokens int, took time.Duration) {
	b.prefill.add(now, float64(max(tokens, 1)), took.Seconds())
}

// Tokens records the time that n output tokens took.
func (b *Budget) Tokens(now time.Time, n int, took time.Duration) {
	if n > 0 {
		b.decode.add(now, took.Seconds(), float64(n))
	}
}

// Report updates the batch size from a load report: while requests wait inside
// the upstream its batch is full.
func (b *Budget) Report(r ward.LoadReport) {
	switch {
	case r.Waiting > 0 && r.Running > 0:
		b.batchSize = float64(r.Running)
	case float64(r.Running) > b.batchSize && b.batchSize > 0:
		b.batchSize = float64(r.Running)
	}
}

// Adapt adjusts the limit of requests in flight to the observed time between
// tokens. inFlight is the known number of requests in flight from all entries.
func (b *Budget) Adapt(now time.Time, inFlight int) {
	const period = 250 * time.Millisecond
	if b.limit == 0 {
		b.limit = initialInFlight
	}
	if now.Sub(b.adaptedAt) < period {
		return
	}
	b.adaptedAt = now
	tokenTime := b.TokenTime()
	switch {
	case tokenTime > targetTokenTime:
		b.limit = max(b.limit*0.95, float64(inFlight)*float64(targetTokenTime)/float64(tokenTime))
	case float64(inFlight) > 0.8*b.limit:
		b.limit *= 1.05
	}
	if b.batchSize > 0 {
		b.limit = min(b.limit, b.batchSize)
	}
	b.limit = min(max(b.limit, minInFlight), maxInFlight)
}

// Limit returns the number of requests that all entries together may have in
// flight.
func (b *Budget) Limit() float64 {
	if b.limit == 0 {
		return initialInFlight
	}
	return b.limit
}

// Share returns this entry's share of the budget, from 0 to 1.
func (b *Budget) Share() float64 { return b.share }

// SetShare sets this entry's share, and the small share that it may use of an
// upstream that other entries own. A share shrinks at once and grows by at most
// maxShareGrowth per second: if the views of k entries are d seconds old, their
// shares of an upstream add up to less than 1 + k*maxShareGrowth*d.
func (b *Budget) SetShare(now time.Time, share, spillover float64) {
	b.spillover = spillover
	if b.shareSetAt.IsZero() || share <= b.share {
		b.share = share
	} else {
		b.share = min(share, b.share+maxShareGrowth*now.Sub(b.shareSetAt).Seconds())
	}
	b.shareSetAt = now
}

// Fits reports whether one more request may be dispatched, given the number that
// this entry has in flight there. ahead is how far the entry may run ahead of
// its pace.
func (b *Budget) Fits(now time.Time, inFlight int, ahead time.Duration) bool {
	if b.share <= 0 || float64(inFlight+1) > max(1, b.Limit()*b.share) {
		return false
	}
	return b.pacingDebt(now) <= ahead.Seconds()*b.PrefillRate()*b.share
}

// FitsSpillover reports whether one more request may be dispatched to an upstream
// that other entries own, given the number in flight there from all entries.
func (b *Budget) FitsSpillover(now time.Time, inFlight int) bool {
	return float64(inFlight+1) <= b.Limit() && b.pacingDebt(now) <= 0
}

// Spend charges dispatched prompt tokens to the pace.
func (b *Budget) Spend(now time.Time, tokens int) {
	b.debt = b.pacingDebt(now) + float64(tokens)
	b.debtAt = now
}

// pacingDebt returns the number of prompt tokens dispatched in excess of the
// entry's share of the prefill rate.
func (b *Budget) pacingDebt(now time.Time) float64 {
	if b.debt == 0 {
		return 0
	}
	return max(0, b.debt-b.PrefillRate()*max(b.share, b.spillover)*b.boost()*now.Sub(b.debtAt).Seconds())
}

// boost returns the factor by which the pace rises while the upstream's backlog
// is short, so that it doesn't run out of prompts.
func (b *Budget) boost() float64 {
	target := b.PrefillRate() * idleBacklog.Seconds()
	return 1 + maxBoost*max(0, 1-b.backlog/target)
}

// SetBacklog sets the known number of prompt tokens that wait in the upstream,
// from all entries.
func (b *Budget) SetBacklog(now time.Time, tokens int) {
	b.debt = b.pacingDebt(now)
	b.debtAt = now
	b.backlog = float64(tokens)
}

// TimeToFirstToken returns the expected time to the first token, given the number
// of prompt tokens to compute before it.
func (b *Budget) TimeToFirstToken(tokens float64) time.Duration {
	return time.Duration(tokens / b.PrefillRate() * float64(time.Second))
}
