// Package plan schedules the steps of a move backwards from its deadline.
//
// The first step is the canary, with a share below 5 %. Until the version passes
// the analysis it stays there for as long as the deadline allows. Once it passes
// it soon gets a quarter of the traffic. At that share the versions can be
// compared nearly as well as at a half, and harm that begins late affects fewer
// requests. It stays there, and the other steps follow towards the deadline.
// With too little traffic for a result the same steps are made when they are
// due. A version under suspicion stays at each step until the latest time for
// the next one.
//
// # Usage
//
//	p := plan.Plan{Begin: state.Begin, Deadline: move.Deadline}
//	if p.Due(state.Step, state.Since, now, passed, suspected) {
//		state.Step++
//		state.Share = p.Share(state.Step)
//	}
//
// All times are fractions of the window from Begin to Deadline, so the steps of
// a short move keep their order.
package plan

import "time"

// Plan is the schedule of one run of a move.
type Plan struct {
	Begin    time.Time
	Deadline time.Time
}

// step is one step of a plan.
type step struct {
	share float64
	// earliest, due and latest are the times of the step as fractions of the
	// window: after a pass, without a result, and under suspicion.
	earliest, due, latest float64
}

var steps = [...]step{
	{share: 0.045},
	{share: 0.10, earliest: 0.02, due: 0.55, latest: 0.80},
	{share: 0.25, earliest: 0.04, due: 0.60, latest: 0.83},
	{share: 0.50, earliest: 0.75, due: 0.75, latest: 0.86},
	{share: 0.75, earliest: 0.82, due: 0.82, latest: 0.89},
	{share: 1, earliest: 0.90, due: 0.90, latest: 0.93},
}

const (
	// minDwell is the least time between two steps, as a fraction of the window.
	minDwell = 0.02
	// PropagationTime is the time in which a share or a quarantine reaches every
	// entry.
	PropagationTime = 3 * time.Second
	// shortPropagation replaces PropagationTime in short moves, as a fraction of
	// the window.
	shortPropagation = 0.1
	// maxLoadFraction is the fraction of the time to the deadline that loading the
	// version may take.
	maxLoadFraction = 0.5
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

// Due reports whether the next step is due at now, given the number of steps made
// and the time of the last one.
func (p Plan) Due(made int, since, now time.Time, passed, suspected bool) bool {
	if made >= Steps {
		return false
	}
	if now.Sub(since) < p.fraction(minDwell) {
		return false
	}
	next := steps[max(made, 0)]
	at := next.due
	switch {
	case suspected:
		at = next.latest
	case passed:
		at = next.earliest
	}
	return !now.Before(p.Begin.Add(p.fraction(at)))
}

// Settled reports whether the new version, with the whole traffic since since,
// has been analyzed long enough: until the deadline, and for at least minDwell
// of the window if the last step was late.
func (p Plan) Settled(since, now time.Time) bool {
	return !now.Before(p.Deadline) && now.Sub(since) >= p.fraction(minDwell)
}

// Propagated reports whether every entry has learned of a share that was dropped
// at since.
func (p Plan) Propagated(since, now time.Time) bool {
	wait := PropagationTime
	if short := p.fraction(shortPropagation); !p.Begin.IsZero() && short < wait {
		wait = short
	}
	return now.Sub(since) >= wait
}

// LoadOverdue reports whether loading the version, begun at since, leaves too
// little time for the steps.
func (p Plan) LoadOverdue(since, now time.Time) bool {
	return float64(now.Sub(since)) > maxLoadFraction*float64(p.Deadline.Sub(since))
}

// fraction returns a fraction of the window as a duration.
func (p Plan) fraction(f float64) time.Duration {
	return time.Duration(f * float64(max(p.Window(), 0)))
}
