package batch

import (
	"math"
	"time"
)

// stepSlack absorbs rounding errors when steps are converted to tokens.
const stepSlack = 1e-6

// advance applies the events until now.
func (e *Engine) advance(now time.Time) {
	if e.now.IsZero() {
		e.now = now
	}
	for {
		at, apply := e.next()
		if at.IsZero() || at.After(now) {
			break
		}
		e.advanceCounters(at)
		apply()
		e.start()
	}
	if now.After(e.now) {
		e.advanceCounters(now)
	}
	e.publish()
}

// next returns the time of the next event and the function that applies it. The
// time is zero when the engine is idle.
func (e *Engine) next() (time.Time, func()) {
	step, chunk := e.step()
	if step == 0 {
		return time.Time{}, nil
	}
	best := math.Inf(1)
	var apply func()
	if len(e.decode) > 0 {
		best = (e.decode[0].finishStep - e.steps) * step
		apply = e.finishDecode
	}
	if len(e.prefill) > 0 {
		if wait := e.prefill[0].remaining / chunk * step; wait < best {
			best = wait
			apply = e.finishPrefill
		}
	}
	return e.now.Add(time.Duration(math.Ceil(max(best, 0) * float64(time.Second)))), apply
}

// step returns the duration of one step in seconds, 0 when idle, and the number
// of prompt tokens that it prefills.
func (e *Engine) step() (seconds, chunk float64) {
	if n := len(e.decode); n > 0 {
		seconds = (e.p.DecodeBase + time.Duration(n)*e.p.DecodePerSequence).Seconds()
	}
	if len(e.prefill) > 0 {
		chunk = float64(e.p.Chunk)
		seconds += chunk / e.p.PrefillRate
	}
	return seconds / e.speed, chunk
}

// advanceCounters advances the counters to a time; no event is due before it.
func (e *Engine) advanceCounters(to time.Time) {
	step, chunk := e.step()
	if step > 0 {
		n := to.Sub(e.now).Seconds() / step
		e.steps += n
		if len(e.prefill) > 0 {
			t := e.prefill[0]
			work := min(n*chunk, t.remaining)
			t.remaining -= work
			e.stats.Prefilled += work / t.slow
		}
	}
	e.now = to
}
