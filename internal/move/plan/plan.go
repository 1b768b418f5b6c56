// Package plan plans the steps of a move backwards from its deadline.
//
// The first step is the canary: a share below five in a hundred. While the
// evidence has not passed, the version stays there as long as the deadline
// allows. With its evidence passed it goes up soon, to a quarter of the traffic,
// where both versions can be told apart nearly as well as at a half while harm
// that begins late reaches fewer requests. It is held there, and the rest of the
// steps follow towards the deadline. Thin traffic that never gives evidence
// makes the same steps when they are due. A version under suspicion is held at
// each step until the latest time for it.
//
// # Usage
//
//	p := plan.Plan{Begin: state.Begin, Deadline: move.Deadline}
//	if p.Due(state.Step, state.Since, now, passed, suspected) {
//		state.Step++
//		state.Share = p.Share(state.Step)
//	}
//
// All times are fractions of the window from Begin to Deadline, so that the
// steps of a short move keep their order.
package plan

import "time"

// Plan is the plan of one run of a move.
type Plan struct {
	Begin    time.Time
	Deadline time.Time
}

// step is one step of a plan.
type step struct {
	share float64
	// soonest, due and latest are fractions of the window: when the step is made
	// with evidence, without it, and under suspicion.
	soonest, due, latest float64
}

var steps = [...]step{
	{share: 0.045},
	{share: 0.10, soonest: 0.02, due: 0.55, latest: 0.80},
	{share: 0.25, soonest: 0.04, due: 0.60, latest: 0.83},
	{share: 0.50, soonest: 0.75, due: 0.75, latest: 0.86},
	{share: 0.75, soonest: 0.82, due: 0.82, latest: 0.89},
	{share: 1, soonest: 0.90, due: 0.90, latest: 0.93},
}

const (
	// dwell is the least part of the window between two steps.
	dwell = 0.02
	// PropagationTime is how long a share or a quarantine takes to reach every entry.
	PropagationTime = 3 * time.Second
	// shortSpread is the same as a part of the window of a short move.
	shortSpread = 0.1
	// loadPart is the part of the time before the deadline that loading the
	// version may take.
	loadPart = 0.5
)

// Steps is the number of steps of a plan; the last one gives the new version
// the whole traffic.
const Steps = len(steps)

// Window returns the time from the first step to the deadline.
func (p Plan) Window() time.Duration { return p.Deadline.Sub(p.Begin) }

// Share returns the share of the new version after a number of steps.
func (p Plan) Share(made int) float64 {
	if made <= 0 {
		return 0
	}
	return steps[min(made, Steps)-1].share
}

// Due tells whether the next step is to be made at now, after made steps of
// which the last was at since.
func (p Plan) Due(made int, since, now time.Time, passed, suspected bool) bool {
	if made >= Steps {
		return false
	}
	if now.Sub(since) < p.part(dwell) {
		return false
	}
	next := steps[max(made, 0)]
	at := next.due
	switch {
	case suspected:
		at = next.latest
	case passed:
		at = next.soonest
	}
	return !now.Before(p.Begin.Add(p.part(at)))
}

// Settled tells whether the whole traffic, on the new version since since, has
// been judged to the end: until the deadline, and for some time after a step
// that came late.
func (p Plan) Settled(since, now time.Time) bool {
	return !now.Before(p.Deadline) && now.Sub(since) >= p.part(dwell)
}

// Propagated tells whether every entry has heard of a share that was dropped at
// since.
func (p Plan) Propagated(since, now time.Time) bool {
	wait := PropagationTime
	if short := p.part(shortSpread); !p.Begin.IsZero() && short < wait {
		wait = short
	}
	return now.Sub(since) >= wait
}

// LoadOverdue tells whether loading the version, begun at since, leaves too
// little time for the steps.
func (p Plan) LoadOverdue(since, now time.Time) bool {
	return float64(now.Sub(since)) > loadPart*float64(p.Deadline.Sub(since))
}

func (p Plan) part(f float64) time.Duration {
	return time.Duration(f * float64(max(p.Window(), 0)))
}
