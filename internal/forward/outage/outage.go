// Package outage tells an outage of the platform's store from the loss of a connection to
// it.
//
// Registrations lapse while the store is away and return soon after it does. So a removal
// that is read after an outage may be a lapse; one that is read after a connection was lost
// is final, like any other. A call that had a connection and got no answer says nothing of
// the store. Only if no call was answered for MinLapse there may have been an outage in
// which registrations lapsed.
//
// # Usage
//
//	var t outage.Tracker
//	t.Failed(errors.Is(err, ward.ErrConnectionLost))
//	if t.Ongoing(now.Sub(lastAnswer)) { ... }
//	if t.Answered(now.Sub(lastAnswer)) { ... } // the end of an outage
//
// The tracker reads no clock and does no I/O.
package outage

import "time"

// MinLapse is the shortest outage in which a registration lapses: that takes three
// heartbeats, of 1.2 s, after the last one, which was up to one before the outage.
const MinLapse = 2400 * time.Millisecond

// Tracker follows the calls of one reader of the store, which makes one at a time. Its zero
// value is ready to use.
type Tracker struct {
	// failing is true if the last call failed, refused if one since the last answer was
	// refused or did not reach the store.
	failing, refused bool
}

// Failed records a failed call. connectionLost is true if there was a connection and no
// answer; the store has refused the call otherwise, or could not be reached.
func (t *Tracker) Failed(connectionLost bool) {
	t.failing = true
	t.refused = t.refused || !connectionLost
}

// Failing reports whether the last call failed.
func (t *Tracker) Failing() bool { return t.failing }

// Ongoing reports whether the failed calls show an outage, or may hide one, given the time
// since the store last answered any call of this process.
func (t *Tracker) Ongoing(unanswered time.Duration) bool {
	return t.refused || t.failing && unanswered >= MinLapse
}

// Answered records an answer after that time, and reports whether it ended an outage.
func (t *Tracker) Answered(unanswered time.Duration) bool {
	ended := t.Ongoing(unanswered)
	*t = Tracker{}
	return ended
}
