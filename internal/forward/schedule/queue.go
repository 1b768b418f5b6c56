package schedule

import (
	"slices"
	"sort"
	"time"
)

// Parameters of the queue estimates.
const (
	// departureWeight is the weight of the newest interval in the smoothed time
	// between departures.
	departureWeight = 0.1
	// maxInterval bounds one interval in seconds: idle time says nothing about the
	// rate of departures.
	maxInterval = 0.5
	// maxWaitFraction is the fraction of a job's remaining time up to which its
	// expected wait is accepted; otherwise the job is refused on arrival.
	maxWaitFraction = 0.6
)

// jobLess reports whether a is dispatched before b.
func jobLess(a, b *Job) bool {
	if a.Resumed != b.Resumed {
		return a.Resumed
	}
	if a.effective != b.effective {
		return rankLess(a.effective, b.effective)
	}
	if a.raised != b.raised {
		return a.raised
	}
	if less, ok := returnLess(a, b); ok {
		return less
	}
	return a.orderDue().Before(b.orderDue())
}

func (v *service) insert(j *Job) {
	i := sort.Search(len(v.queue), func(i int) bool { return jobLess(j, v.queue[i]) })
	v.queue = append(v.queue, nil)
	copy(v.queue[i+1:], v.queue[i:])
	v.queue[i] = j
}

// sortQueue sorts the queue. Within a rank, jobs that can still be in time precede
// those that cannot; otherwise every job would be late under sustained overload.
func (s *Scheduler) sortQueue(v *service, now time.Time) {
	s.markTeams(v, now)
	if len(v.queue) < 2 {
		return
	}
	late := make(map[*Job]bool, len(v.queue))
	for _, j := range v.queue {
		j.effective, j.raised = j.Rank, false
		late[j] = s.late(v, j, now)
	}
	less := func(i, k int) bool {
		a, b := v.queue[i], v.queue[k]
		if a.effective == b.effective && a.raised == b.raised && a.Resumed == b.Resumed && late[a] != late[b] {
			return late[b]
		}
		return jobLess(a, b)
	}
	sort.SliceStable(v.queue, less)
	if v.raise() {
		sort.SliceStable(v.queue, less)
	}
}

// late reports whether no upstream is expected to answer j in time any more.
func (s *Scheduler) late(v *service, j *Job, now time.Time) bool {
	return now.Add(s.minTimeToFirst(v, j, now)).After(j.Due)
}

// recordDeparture records that a job left the queue for an upstream.
func (v *service) recordDeparture(j *Job, late bool, now time.Time) {
	own := v.rank(j.Rank)
	own.decay(now)
	own.dispatched++
	for _, c := range v.ranks {
		c.share -= departureWeight * c.share
		c.lateShare -= departureWeight * c.lateShare
	}
	v.recordTeamDeparture(j, late)
	if late {
		own.lateShare += departureWeight
	} else {
		own.share += departureWeight
	}

	if !v.lastDeparture.IsZero() {
		d := min(now.Sub(v.lastDeparture).Seconds(), maxInterval)
		v.departureInterval += departureWeight * (d - v.departureInterval)
	}
	v.lastDeparture = now
}

// rejectReason returns the reason to refuse a job on arrival, or "".
func (s *Scheduler) rejectReason(v *service, j *Job, now time.Time) string {
	usable := 0
	list := s.upstreamsFor(v, j)
	for _, u := range list {
		if !u.Draining && (j.Resumed || !slices.Contains(j.Avoid, u.ID) && u.returnsFor(j, now)) {
			usable++
		}
	}
	switch {
	case len(list) == 0 && j.Homes != nil:
		return ReasonNoUpstream
	case usable == 0:
		return v.noUpstreamReason(now)
	case now.After(j.Expires):
		return ReasonTooLate
	case !j.Resumed && s.allExceed(list, j, now):
		return ReasonPaused
	case s.outlastsStop(v, j, now):
		return ReasonStopping
	case j.Resumed || j.Returned:
		return ""
	}
	if _, ok := v.underserved(j.Rank); ok && v.waitingOf(j.Rank) < maxRaised {
		return ""
	}
	if s.waitsTooLong(v, j, s.countAhead(v, j, now), now) {
		return v.longWaitReason(now)
	}
	return ""
}

// waitsTooLong reports whether the expected wait of j behind ahead jobs takes too
// much of its remaining time.
func (s *Scheduler) waitsTooLong(v *service, j *Job, ahead int, now time.Time) bool {
	left := j.Expires.Sub(now) - s.minTimeToFirst(v, j, now)
	return left < 0 || s.expectedWait(v, j, s.late(v, j, now), ahead, now) > time.Duration(maxWaitFraction*float64(left))
}

// maxIdleLoad is the fraction of slots in use below which a service counts as idle.
const maxIdleLoad = 0.7

// Idle reports whether a service has an empty queue and spare capacity.
func (s *Scheduler) Idle(name string, now time.Time) bool {
	v := s.services[name]
	if v == nil || len(v.queue) > 0 {
		return false
	}
	slots, load := 0, 0
	for _, u := range v.upstreams {
		if !u.Draining && !u.said.wantsNone(now) && !u.paced(now) && !u.barred(now) {
			slots += u.slots()
			load += u.load()
		}
	}
	return float64(load) < maxIdleLoad*float64(slots)
}
