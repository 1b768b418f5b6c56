// Package outage tells an outage of the platform's store from the loss of one connection
// to it.
//
// Registrations lapse while the store is away and return soon after it does. So a removal
// that is read after an outage may be a lapse; one that is read after a connection was lost
// is final, like any other. A call that had a connection and got no answer says nothing of
// the store. If the next call, on a new connection, is answered, there was no outage: the
// time limit of a call is shorter than the time in which registrations lapse.
//
// # Usage
//
//	var t outage.Tracker
//	t.Failed(errors.Is(err, ward.ErrConnectionLost))
//	if t.Ongoing() { ... }
//	if t.Answered() { ... } // the end of an outage
//
// The tracker reads no clock and does no I/O.
package outage

// Tracker follows the calls of one reader of the store, which makes one at a time. Its zero
// value is ready to use.
type Tracker struct {
	// failed is the number of calls that failed since the last answer.
	failed int
	// ongoing is true if they show an outage.
	ongoing bool
}

// Failed records a failed call. connectionLost is true if there was a connection and no
// answer; the store has refused the call otherwise, or could not be reached.
func (t *Tracker) Failed(connectionLost bool) {
	t.failed++
	t.ongoing = t.ongoing || !connectionLost || t.failed > 1
}

// Failing reports whether the last call failed.
func (t *Tracker) Failing() bool { return t.failed > 0 }

// Ongoing reports whether the failed calls since the last answer show an outage.
func (t *Tracker) Ongoing() bool { return t.ongoing }

// Answered records an answer, and reports whether it ended an outage.
func (t *Tracker) Answered() bool {
	ended := t.ongoing
	*t = Tracker{}
	return ended
}
