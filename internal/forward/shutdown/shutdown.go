// Package shutdown decides what a stopping entry still serves, and when its
// process exits.
//
// A balancer may go on sending requests to a stopping entry: until it has noticed
// the stop, and for longer if most entries of the data centre stop together. The
// entry therefore takes connections as long as it runs requests, and serves what it is
// expected to finish before its grace ends. Once the balancer has had time to notice,
// it serves only requests whose deadline is before its exit: how long an answer takes
// is an estimate, and a refusal costs the caller no more than another attempt. The rest
// is refused at once.
//
// # Usage
//
//	s := shutdown.Shutdown{Begin: now, Grace: 8 * time.Second}
//	scheduler.Stop(s.Late(), s.End())
//	if shutdown.Outlasts(deadline, s.Late(), s.End(), now) {
//		... // refuse the request
//	}
//	for step := shutdown.Serving; step != shutdown.Closed; {
//		step = s.Next(now, step, running, connections)  // whenever requests end or time has passed
//		...                                             // what the step begins
//	}
//
// It reads no clock and does no I/O.
package shutdown

import "time"

const (
	// BalancerLag is the time after which a balancer sends no new connections: it
	// probes once a second and removes an entry after two negative answers.
	BalancerLag = 2600 * time.Millisecond
	// graceFraction is the fraction of the grace after which the remaining requests
	// are ended.
	graceFraction = 0.9
	// closeFraction is the fraction of the grace until which the answers of these requests
	// are written.
	closeFraction = 0.96
	// minCloseTime is the least time for these answers and for the heads of requests that
	// have begun to arrive.
	minCloseTime = 100 * time.Millisecond
	// linesFraction is the fraction of the grace until which the requests that the close has
	// cut may write their log lines.
	linesFraction = 0.98
	// minLinesTime is the least time for these lines.
	minLinesTime = 20 * time.Millisecond
	// maxLagFraction bounds BalancerLag as a fraction of the grace.
	maxLagFraction = 0.5
)

// Shutdown is a planned stop of an entry. Begin and Grace are required.
type Shutdown struct {
	// Begin is when the stop was ordered.
	Begin time.Time
	// Grace is the time after which the process is killed.
	Grace time.Duration
}

// End returns when the remaining requests are ended.
func (s Shutdown) End() time.Time {
	return s.Begin.Add(time.Duration(graceFraction * float64(s.Grace)))
}

// Close returns when the connections of callers are closed that are still in use.
func (s Shutdown) Close() time.Time {
	return latest(s.Begin.Add(time.Duration(closeFraction*float64(s.Grace))), s.End().Add(minCloseTime))
}

// Lines returns until when requests that the close has cut may write their log lines.
func (s Shutdown) Lines() time.Time {
	return latest(s.Begin.Add(time.Duration(linesFraction*float64(s.Grace))), s.Close().Add(minLinesTime))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Late returns the time from which requests are served only if their deadline is before
// End: the balancer has had time to notice the stop.
func (s Shutdown) Late() time.Time {
	return s.Begin.Add(min(BalancerLag, time.Duration(maxLagFraction*float64(s.Grace))))
}

// Outlasts reports whether a request with a deadline, zero for none, is no longer begun at
// now: it is late in a stop, and nothing ends the request before the end of it.
func Outlasts(deadline, late, end, now time.Time) bool {
	return !now.Before(late) && (deadline.IsZero() || deadline.After(end))
}

// Step is a step of a stop. The steps follow each other in this order.
type Step int

// The steps of a stop.
const (
	// Serving takes requests as Late and End say.
	Serving Step = iota
	// Refusing begins no request any more. Those that run go on.
	Refusing
	// Closing ends the requests that still run and the connections without a request. Heads
	// that are arriving are waited for and refused.
	Closing
	// Closed closes what is still open. The process exits.
	Closed
)

// Next returns the step that follows at now, or step itself, with a number of running requests
// and of open connections of callers.
func (s Shutdown) Next(now time.Time, step Step, running, connections int) Step {
	switch step {
	case Serving:
		if !now.Before(s.End()) || running == 0 && !now.Before(s.Late()) {
			return Refusing
		}
	case Refusing:
		// A request may have begun since running was counted in the step before.
		if !now.Before(s.End()) || running == 0 {
			return Closing
		}
	case Closing:
		if !now.Before(s.Close()) || running == 0 && connections == 0 {
			return Closed
		}
	}
	return step
}
