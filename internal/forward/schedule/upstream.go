package schedule

import (
	"time"

	"agateward/ward"
)

// Initial estimates of an engine's latency, corrected by observation.
const (
	// firstBase and firstPerToken give the nominal time to the first event of an
	// engine in seconds: a fixed part and a part per prompt token.
	firstBase     = 0.045
	firstPerToken = 1.0 / 100_000
	// perToken is the nominal time per output token in seconds.
	perToken = 0.004
	// outputMargin multiplies the expected output when it is checked against the
	// caller's deadline.
	outputMargin = 1.3
	// plainTime is the nominal time of a plain request in seconds.
	plainTime = 0.03
	// ratioWeight is the weight of one observation in the smoothed ratios.
	ratioWeight = 0.2
)

// Parameters of failure detection.
const (
	// failureWeight is the weight of one answer in the smoothed failure rate.
	failureWeight = 0.08
	// degradedExcess is how far an upstream's failure rate may exceed that of the
	// others before it is used only if nothing else has capacity.
	degradedExcess = 0.12
	// minAnswers is the number of answers from which the failure rate counts.
	minAnswers = 8
	// minBackoff and maxBackoff bound the pause before an unreachable upstream is
	// tried again.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// silenceFactor multiplies the expected time to the first event of an empty
	// prompt; an upstream that sends nothing for that time, and at least for
	// minSilence, counts as unresponsive.
	silenceFactor = 4
	minSilence    = 600 * time.Millisecond
	// reportTTL is how long a peer's report of an unresponsive upstream counts, if the
	// upstream has not answered this entry in that time.
	reportTTL = 500 * time.Millisecond
	// probeInterval is the time between two requests that probe an upstream.
	probeInterval = 700 * time.Millisecond
)

// upstream holds the load and statistics of one replica.
type upstream struct {
	ward.Replica
	// local is true for an upstream in this entry's data centre.
	local bool
	// learned is what is learned of its concurrency, nil if nothing is to be.
	learned *learned
	// said is what the upstream said of itself, nil for nothing.
	said *statement
	// assigned is the number of slots assigned to this entry. reserved is true while
	// one slot is kept for this entry's waiting jobs.
	assigned int
	reserved bool
	// held is true for an upstream of another cell of which this entry holds a limit.
	held bool
	// home is true for an upstream that belongs to this entry's cell, in a fleet that is
	// divided into cells. coldPart is this entry's part of its rate while it is cold, in
	// requests a second.
	home     bool
	coldPart float64
	// ownLoad and peerLoad count the running requests of this entry and of its peers.
	ownLoad, peerLoad int
	// borrowed counts the own requests that use a slot that a peer lent, lent the slots
	// that were lent to peers. Both count slots of a brittle upstream alone.
	borrowed, lent int
	// pendingGrants counts the granted slots that the receiver's state does not show
	// yet.
	pendingGrants int
	// owned is true for an upstream that belongs to this cell alone. elsewhere is set for
	// one that belongs to another cell, if slots are lent.
	owned     bool
	elsewhere *elsewhere
	// loaned counts the slots lent to entries of other cells, foreign the own requests
	// that use a slot of another cell.
	loaned, foreign int
	// latencyRatio is the observed time to the first event as a multiple of the
	// nominal one; 0 means not measured.
	latencyRatio float64
	// tokenRatio is the observed time per token as a multiple of the nominal one; 0
	// means not measured.
	tokenRatio float64
	// reading estimates the time for each token of a prompt.
	reading reading
	// failureRate is the smoothed fraction of failures among answers.
	failureRate float64
	answers     int
	// failedAttempts counts the attempts without an answer since the last answer. No
	// request is sent until backoffUntil.
	failedAttempts int
	backoffUntil   time.Time
	// lastHeard is when the last byte arrived. awaitingSince is when the first request
	// after that was sent; zero means that none is outstanding.
	lastHeard, awaitingSince time.Time
	lastSent                 time.Time
	// brittleAt is when an upstream of the service last said that it is brittle, rejectedAt
	// when this one last rejected a request as it was.
	brittleAt, rejectedAt time.Time
	// reportedAt is when a peer last reported the upstream as unresponsive, reportedFrom
	// the first of these reports without a pause.
	reportedAt, reportedFrom time.Time
	// lostSince is the first failed attempt since the last answer of an upstream that may
	// be cold.
	lostSince time.Time
}

func (u *upstream) load() int { return u.ownLoad + u.loaned + u.peerLoad + u.pendingGrants }

func (u *upstream) latencyFactor() float64 {
	if u.latencyRatio == 0 {
		return u.expected(1)
	}
	return u.expected(u.latencyRatio)
}

// tokenFactor is the multiple for the time per token: that of the first event until
// tokenRatio is measured.
func (u *upstream) tokenFactor() float64 {
	if u.tokenRatio == 0 {
		return u.latencyFactor()
	}
	return u.tokenRatio
}

// timeToLast is the expected time to the last event of j. Callers' estimates of the
// output are accurate only at the median, so outputMargin is added.
func (u *upstream) timeToLast(j *Job) time.Duration {
	return u.timeToFirst(j) + time.Duration(outputMargin*u.tokenFactor()*nominalRest(j)*float64(time.Second))
}

// nominalFirst is the nominal time to the first event in seconds.
func nominalFirst(j *Job) float64 {
	if j.Output == 0 {
		return plainTime
	}
	return firstBase + firstPerToken*float64(j.Prompt)
}

// nominalRest is the nominal time from the first event to the last in seconds.
func nominalRest(j *Job) float64 { return perToken * float64(j.Output) }

// timeToFirst is the expected time to the first event of j under the present load.
func (u *upstream) timeToFirst(j *Job) time.Duration {
	return time.Duration(u.latencyFactor() * nominalFirst(j) * float64(time.Second))
}

func (u *upstream) markSent(now time.Time) {
	u.lastSent = now
	if u.awaitingSince.IsZero() {
		u.awaitingSince = now
	}
}

func (u *upstream) markResponsive(now time.Time) {
	u.noteSilence(now)
	u.lastHeard, u.awaitingSince = now, time.Time{}
	u.failedAttempts, u.backoffUntil = 0, time.Time{}
}

// unresponsive reports whether requests are outstanding and nothing arrived for too
// long.
func (u *upstream) unresponsive(now time.Time) bool {
	limit := max(time.Duration(silenceFactor*u.latencyFactor()*firstBase*float64(time.Second)), minSilence)
	return u.ownLoad > 0 && !u.awaitingSince.IsZero() && now.Sub(u.awaitingSince) > limit
}

// unresponsive returns the IDs of the upstreams that do not answer.
func (s *Scheduler) unresponsive(now time.Time) []string {
	var list []string
	for id, u := range s.byID {
		if u.failedAttempts > 1 || u.unresponsive(now) {
			list = append(list, id)
		}
	}
	return list
}

// unreachable reports whether each upstream of the service wants no requests or has not
// answered since its last failed attempt.
func (v *service) unreachable(now time.Time) bool {
	for _, u := range v.upstreams {
		if !u.Draining && !u.said.wantsNone(now) && u.failedAttempts == 0 {
			return false
		}
	}
	return true
}

// hasFreeSlot reports whether any upstream of the service has a usable slot.
func (v *service) hasFreeSlot(now time.Time) bool {
	for _, u := range v.upstreams {
		if u.hasSlot(now) && now.After(u.backoffUntil) {
			return true
		}
	}
	return false
}

// minTimeToFirst is the shortest expected time to the first event of j, including the
// rest of a pause and the wait for a limit. It is 0 if all have limits of which this entry
// holds no part.
func (s *Scheduler) minTimeToFirst(v *service, j *Job, now time.Time) time.Duration {
	best := time.Duration(0)
	for _, u := range s.upstreamsFor(v, j) {
		if u.Draining {
			continue
		}
		wait, ok := u.limitWait(now)
		if !ok {
			continue
		}
		if d := max(u.said.pauseLeft(now), wait) + u.timeToFirst(j); best == 0 || d < best {
			best = d
		}
	}
	return best
}

// otherFailureRate is the mean failure rate of the service's other upstreams.
func (v *service) otherFailureRate(except *upstream) float64 {
	sum, n := 0.0, 0
	for _, u := range v.upstreams {
		if u != except && u.answers >= minAnswers && !u.Draining {
			sum += u.failureRate
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// degraded reports whether u fails clearly more often than the other upstreams.
func (v *service) degraded(u *upstream) bool {
	return u.answers >= minAnswers && u.failureRate > v.otherFailureRate(u)+degradedExcess
}
