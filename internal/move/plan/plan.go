// Package plan schedules the steps of a move backwards from its deadline.
//
// The first step is the canary, with a share below 5 %. An unproven version gets
// a tenth of the traffic at most: the steps beyond need an approval, which no
// time replaces. Once approved it soon gets a quarter of the traffic. At that
// share the versions can be compared nearly as well as at a half, and harm that
// begins late affects fewer requests. It stays there, and the other steps follow
// towards the deadline. A version under suspicion stays at each step until the
// latest time for the next one. If the approval comes too late for the steps that
// are left, the move is rolled back.
//
// # Usage
//
//	p := plan.Plan{Begin: state.Begin, Deadline: move.Deadline}
//	if p.Due(state.Step, state.Since, now, plan.Evidence{Approved: true}) {
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
	// window: with an approval, without one, and under suspicion.
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
	// approvalEnd is the time until which an approval leaves time for the other steps, as
	// a fraction of the window.
	approvalEnd = 0.86
	// finalPart is the fraction of the window from which on time is short: the evidence
	// that there is decides.
	finalPart = 0.75
	// fewRequests is the number of requests in the whole window from which on they can
	// approve a version. A move with fewer needs no approval, if the window is long enough
	// to know: it is made by the clock unless the outcomes speak against the version.
	fewRequests = 50
	// thinRequests is the number of requests up to which a version with leastOutcomes
	// outcomes that do not speak against it needs no approval either: too few come for
	// one on each route.
	thinRequests  = 100
	leastOutcomes = 10
	// leastObserved is the time after which the number of requests in a window is known,
	// as a fraction of the window, but at least PropagationTime.
	leastObserved = 0.15
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

// UnprovenSteps is the number of steps that need no approval.
const UnprovenSteps = 2

// Window returns the time from the first step to the deadline.
func (p Plan) Window() time.Duration { return p.Deadline.Sub(p.Begin) }

// Share returns the share of the new version after a number of steps.
func (p Plan) Share(made int) float64 {
	if made <= 0 {
		return 0
	}
	return steps[min(made, Steps)-1].share
}

// Evidence is what is known of the new version.
type Evidence struct {
	// Approved reports whether the outcomes speak for the version, Suspected whether they
	// speak against it.
	Approved, Suspected bool
	// Opposed reports whether the outcomes speak against it by however little, Unclear
	// whether they would if the requests without an outcome failed. They count where few
	// requests come.
	Opposed, Unclear bool
	// Outcomes is the number of outcomes of the new version.
	Outcomes uint64
	// Requests is the number of requests of both versions in the last Observed.
	Requests uint64
	Observed time.Duration
}

// Due reports whether the next step is due at now, given the number of steps made
// and the time of the last one.
func (p Plan) Due(made int, since, now time.Time, e Evidence) bool {
	if made >= Steps || now.Sub(since) < p.fraction(minDwell) {
		return false
	}
	if made >= UnprovenSteps && !p.approved(e) && (!p.Few(e) || e.Unclear) {
		return false
	}
	next := steps[max(made, 0)]
	at := next.due
	switch {
	case e.Suspected:
		at = next.latest
	case e.Approved:
		at = next.earliest
	}
	return !now.Before(p.Begin.Add(p.fraction(at)))
}

// ApprovalOverdue reports whether an approval would come too late for the steps that
// need it. Where few requests come, none is needed, but what speaks against the version
// has to be refuted by then, or by the deadline if it may be by requests that still run.
func (p Plan) ApprovalOverdue(now time.Time, e Evidence) bool {
	if e.Approved || now.Before(p.Begin.Add(p.fraction(approvalEnd))) {
		return false
	}
	return !p.Few(e) || e.Opposed || e.Unclear && !now.Before(p.Deadline)
}

// Final reports whether the time for an approval is nearly up.
func (p Plan) Final(now time.Time) bool { return !now.Before(p.Begin.Add(p.fraction(finalPart))) }

// approved reports whether the version is approved, also by what has been seen lately: a
// process that started during the move may have missed harm that began before.
func (p Plan) approved(e Evidence) bool {
	return e.Approved && e.Observed >= min(p.fraction(leastObserved), PropagationTime)
}

// Few reports whether the window has too few requests to approve a version. It is
// false while that is not known.
func (p Plan) Few(e Evidence) bool {
	limit := fewRequests
	if e.Outcomes >= leastOutcomes {
		limit = thinRequests
	}
	return e.Observed >= max(p.fraction(leastObserved), PropagationTime) && float64(e.Requests)*float64(p.Window()) < float64(limit)*float64(e.Observed)
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
