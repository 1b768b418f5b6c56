package schedule

import "time"

// Reasons for a refusal.
const (
	ReasonNoUpstream = "no-upstream"
	ReasonTooLate    = "too-late"
	ReasonQueueLong  = "queue-long"
	ReasonStopping   = "stopping"
	// ReasonLeaving means that the service has no upstream left, of which at least one
	// said that it leaves.
	ReasonLeaving = "leaving"
	// ReasonEvacuated means that the service has upstreams in evacuated data centres alone.
	ReasonEvacuated = "evacuated"
	// ReasonPaused means that every upstream of the service asked for a pause, which
	// the job cannot wait for, or got one as its answers exceeded the bounds.
	ReasonPaused = "paused"
	// ReasonLimited means that the job would wait too long, as every upstream of the
	// service has named a limit.
	ReasonLimited = "rate-limited"
	// ReasonUnreachable means that the job expired while no upstream could be reached.
	ReasonUnreachable = "unreachable"
)

// Limits of the retry delay of a refusal.
const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// otherEntryRetry is the retry delay of a stopping entry while most entries serve.
	otherEntryRetry = 50 * time.Millisecond
	// restartLag is the time from an entry's exit until a balancer sends it requests
	// again.
	restartLag = 1500 * time.Millisecond
)

// refuse returns the refusal of a job, with the time after which its caller may ask
// again.
func (s *Scheduler) refuse(v *service, j *Job, reason string, now time.Time) Action {
	s.lackTeam(v, j, now)
	wait := s.expectedWait(v, j, s.late(v, j, now), s.countAhead(v, j, now), now)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	pause := v.pauseLeft(now)
	if reason == ReasonStopping {
		// Another entry answers, which the upstreams did not ask for a pause.
		wait, pause = s.stoppingRetry(now), 0
	}
	a := Action{Job: j, Reason: reason, RetryAfter: pause + s.spread(wait), Waited: now.Sub(j.Arrived), Queued: len(v.queue)}
	s.placeReturn(v, &a, now)
	return a
}

// spread adds jitter up to the same length to a retry delay, which keeps the retries from
// forming another burst.
func (s *Scheduler) spread(wait time.Duration) time.Duration {
	return min(wait+time.Duration(s.Rand.Float64()*float64(wait)), maxRetryAfter)
}

// StoppingRetry returns the retry delay of a request that is refused since this entry stops.
func (s *Scheduler) StoppingRetry(now time.Time) time.Duration { return s.spread(s.stoppingRetry(now)) }

// stoppingRetry returns the retry delay of a job that is refused since this entry
// stops: none to speak of while most entries serve, else the time until the first
// one that stops is back.
func (s *Scheduler) stoppingRetry(now time.Time) time.Duration {
	first, serving := s.stopEnd, 0
	for _, p := range s.peers {
		if !p.state.Leaving {
			serving++
			continue
		}
		if end := p.lastUpdate.Add(p.state.ExitsIn); end.Before(first) {
			first = end
		}
	}
	if 2*serving > len(s.peers) {
		return otherEntryRetry
	}
	return max(first.Sub(now), 0) + restartLag
}

// expiryReason returns the reason to refuse a job that has expired while it waited.
func (s *Scheduler) expiryReason(v *service, now time.Time) string {
	if !v.unreachable(now) {
		return ReasonTooLate
	}
	for _, u := range v.upstreams {
		if !u.Draining && !u.said.wantsNone(now) {
			return ReasonUnreachable
		}
	}
	if reason := v.noUpstreamReason(now); reason != ReasonNoUpstream {
		return reason
	}
	return ReasonUnreachable
}

// noUpstreamReason returns the reason to refuse a job that no upstream of the service
// may get.
func (v *service) noUpstreamReason(now time.Time) string {
	if v.pauseLeft(now) > 0 {
		return ReasonPaused
	}
	reason := ReasonNoUpstream
	for _, u := range v.upstreams {
		if u.said != nil && u.said.leaving {
			return ReasonLeaving
		}
		if u.Evacuated {
			reason = ReasonEvacuated
		}
	}
	return reason
}

// longWaitReason returns the reason to refuse a job whose wait would take too long.
func (v *service) longWaitReason(now time.Time) string {
	if v.pauseLeft(now) > 0 {
		return ReasonPaused
	}
	if v.allLimited(now) {
		return ReasonLimited
	}
	return ReasonQueueLong
}
