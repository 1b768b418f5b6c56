package schedule

import (
	"slices"
	"time"

	"agateward/internal/forward/shutdown"
)

// Costs of a choice, as multiples of the nominal time of the request.
const (
	// remoteCost is added for an upstream in another data centre.
	remoteCost = 0.35
	// loadCost is added in proportion to the slots in use.
	loadCost = 0.6
	// trialGain is subtracted for an upstream with a limit that got nothing for
	// limitTrialInterval: only an answer shows that the limit has ended.
	trialGain = 10
	// lateCost, deadlineCost and degradedCost are far above the other costs: such
	// upstreams are chosen only if there is no other.
	lateCost     = 20
	deadlineCost = 40
	degradedCost = 100
)

// choose returns the upstream for j, or nil when it is better to wait.
func (s *Scheduler) choose(v *service, j *Job, now time.Time) *upstream {
	var best *upstream
	bestCost := 0.0
	// Without an upstream that answers, a job of any kind would wait in vain.
	probe := j.Repeatable || v.unreachable(now)
	avoided := false
	for _, u := range s.upstreamsFor(v, j) {
		avoided = avoided || !u.limitAllows(now)
		if !u.hasSlot(now) || slices.Contains(j.Avoid, u.ID) || !u.accepts(probe, now) || !u.bears(j, now) || u.outlastsStop(j, now) {
			continue
		}
		cost := s.cost(v, u, j, now)
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if avoided {
		s.limits.avoided++
	}
	if best == nil {
		return nil
	}
	// If the best choice is late, waiting for a faster upstream is better as long as
	// that one can still be in time.
	late := now.Add(best.timeToFirst(j)).After(j.Due)
	if late && !now.Add(s.minTimeToFirst(v, j, now)).After(j.Due) {
		return nil
	}
	if s.waitsForOthers(v, best, j, now) {
		return nil
	}
	if s.missesDeadline(best, j, now) && s.canMeetDeadline(v, j, now) {
		return nil
	}
	return best
}

// missesDeadline reports whether j is expected to exceed its deadline at u.
func (s *Scheduler) missesDeadline(u *upstream, j *Job, now time.Time) bool {
	return !j.Deadline.IsZero() && now.Add(u.timeToLast(j)).After(j.Deadline)
}

// outlastsStop reports whether j may outlast the entry: the entry stops before any upstream
// is expected to end j or, from stopLate on, before j must have ended. A job whose answer
// has begun goes on until the stop.
func (s *Scheduler) outlastsStop(v *service, j *Job, now time.Time) bool {
	if j.EndBy.IsZero() || j.Resumed {
		return false
	}
	if s.unboundAtStop(j, now) {
		return true
	}
	for _, u := range s.upstreamsFor(v, j) {
		if u.available(now) && !u.outlastsStop(j, now) {
			return false
		}
	}
	return true
}

// unboundAtStop reports whether it is late in a stop and nothing ends j before the exit.
func (s *Scheduler) unboundAtStop(j *Job, now time.Time) bool {
	return !s.stopEnd.IsZero() && !j.Resumed && shutdown.Outlasts(j.Deadline, s.stopLate, j.EndBy, now)
}

// outlastsStop reports whether the entry stops before u is expected to end j.
func (u *upstream) outlastsStop(j *Job, now time.Time) bool {
	return !j.EndBy.IsZero() && !j.Resumed && now.Add(u.timeToLast(j)).After(j.EndBy)
}

// canMeetDeadline reports whether any upstream of the service is expected to end j
// before its deadline.
func (s *Scheduler) canMeetDeadline(v *service, j *Job, now time.Time) bool {
	for _, u := range s.upstreamsFor(v, j) {
		if u.available(now) && !s.missesDeadline(u, j, now) {
			return true
		}
	}
	return false
}

// available reports whether u takes requests now, with or without a free slot.
func (u *upstream) available(now time.Time) bool {
	_, held := u.limitWait(now)
	return !u.Draining && !u.said.wantsNone(now) && held && now.After(u.backoffUntil)
}

// accepts reports whether u may get a job. An upstream that failed or is unresponsive
// gets only one per probeInterval, of those that may probe.
func (u *upstream) accepts(probe bool, now time.Time) bool {
	if now.Before(u.backoffUntil) {
		return false
	}
	reported := now.Sub(u.reportedAt) < reportTTL && now.Sub(u.lastHeard) > reportTTL
	if u.failedAttempts == 0 && !u.unresponsive(now) && !reported {
		return true
	}
	return probe && now.Sub(u.lastSent) > probeInterval
}

// cost returns the cost of sending j to u, in seconds, with a little noise to break
// ties.
func (s *Scheduler) cost(v *service, u *upstream, j *Job, now time.Time) float64 {
	work := nominalFirst(j) + nominalRest(j)
	rate := (u.latencyFactor()*nominalFirst(j) + u.tokenFactor()*nominalRest(j)) / work
	cost := rate * (1 + loadCost*float64(u.load())/float64(u.slots()))
	if !u.local {
		cost += remoteCost
	}
	if u.limited() && now.Sub(u.lastSent) >= limitTrialInterval {
		cost -= trialGain
	}
	if u.isCold(now) {
		cost += coldCost
	}
	if now.Add(u.timeToFirst(j)).After(j.Due) {
		cost += lateCost
	}
	if s.interrupts(u, j) {
		cost += interruptCost * float64(u.load())
	}
	if !j.Deadline.IsZero() && now.Add(u.timeToLast(j)).After(j.Deadline) {
		cost += deadlineCost
	}
	if v.degraded(u) && (!j.Repeatable || now.Sub(u.lastSent) <= probeInterval) {
		cost += degradedCost
	}
	return cost*work + s.Rand.Float64()*0.02*work
}
