// Package stall decides whether the upstream of a request has stopped sending. Only
// time in which the entry waits for bytes counts: neither a caller that reads slowly
// nor an entry that was late itself makes an upstream silent.
//
// # Usage
//
//	var w stall.Watch
//	check := w.Wait(time.Second, now) // the runner waits for bytes
//	silent, check := w.Check(unread, now)
//	w.Pause() // the runner does something else
//
// Check is called after the returned duration and returns the next one.
package stall

import "time"

// Watch tracks the silence of one upstream. Its zero value is paused.
type Watch struct {
	limit time.Duration
	since time.Time
}

// Wait begins to wait for bytes, for limit at most, and returns the time until Check.
func (w *Watch) Wait(limit time.Duration, now time.Time) time.Duration {
	w.limit, w.since = limit, now
	return limit
}

// Pause ends the wait: bytes arrived that are being processed.
func (w *Watch) Pause() { w.since = time.Time{} }

// Limit returns the silence from which the upstream counts as stalled.
func (w *Watch) Limit() time.Duration { return w.limit }

// Silence returns how long the entry has waited for bytes.
func (w *Watch) Silence(now time.Time) time.Duration {
	if w.since.IsZero() {
		return 0
	}
	return now.Sub(w.since)
}

// Check reports whether the upstream has been silent for the limit, and else the time
// until the next check, 0 if none is needed before the next Wait. unread is true if
// bytes have arrived that the entry has not read.
func (w *Watch) Check(unread bool, now time.Time) (silent bool, again time.Duration) {
	switch left := w.limit - w.Silence(now); {
	case w.since.IsZero():
		return false, 0
	case left > 0:
		return false, left
	case unread:
		return false, w.Wait(w.limit, now)
	}
	return true, 0
}
