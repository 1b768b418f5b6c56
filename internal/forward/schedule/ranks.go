package schedule

import (
	"math"
	"time"
)

const (
	// minServedRatio is the least served fraction of a rank, as a ratio to that of the
	// rank above it that is served least. Below it, one waiting job of the rank is
	// raised, so that overload does not starve the lowest rank.
	minServedRatio = 0.5
	// rankMemory is the time constant over which arrivals and dispatches are counted.
	rankMemory = 4 * time.Second
	// maxRaised bounds the jobs of an underserved rank that wait although others of
	// the rank are refused.
	maxRaised = 2
	// maxTakenShare bounds the share of the departures that counts as taken by jobs
	// that arrive later in the estimate of a wait.
	maxTakenShare = 0.9
)

// rankCount counts the jobs of one rank, recent ones most.
type rankCount struct {
	arrived, dispatched float64
	// share and lateShare are the smoothed fractions of the departures that were of
	// this rank and could be in time, or could not.
	share, lateShare float64
	// within and lateWithin are the parts of these that were of teams within their share.
	within, lateWithin float64
	updated            time.Time
}

// servedFraction is the fraction of the jobs that were dispatched; without any, all
// count as served.
func (c *rankCount) servedFraction() float64 {
	return (c.dispatched + 1) / (max(c.arrived, c.dispatched) + 1)
}

func (c *rankCount) decay(now time.Time) {
	if !c.updated.IsZero() {
		f := math.Exp(-now.Sub(c.updated).Seconds() / rankMemory.Seconds())
		c.arrived *= f
		c.dispatched *= f
	}
	c.updated = now
}

// rank returns the counts of a rank.
func (v *service) rank(r [2]int) *rankCount {
	if v.ranks == nil {
		v.ranks = make(map[[2]int]*rankCount)
	}
	c := v.ranks[r]
	if c == nil {
		c = &rankCount{}
		v.ranks[r] = c
	}
	return c
}

func rankLess(a, b [2]int) bool {
	return a[0] < b[0] || a[0] == b[0] && a[1] < b[1]
}

// underserved reports whether jobs of rank r are dispatched much less often than
// those of each rank above it, and returns the one that is served least.
func (v *service) underserved(r [2]int) (above [2]int, ok bool) {
	least := math.Inf(1)
	for other, c := range v.ranks {
		if f := c.servedFraction(); rankLess(other, r) && (f < least || f == least && rankLess(above, other)) {
			above, least = other, f
		}
	}
	if math.IsInf(least, 1) {
		return above, false
	}
	return above, v.rank(r).servedFraction() < minServedRatio*least
}

// waitingOf counts the waiting jobs of rank r.
func (v *service) waitingOf(r [2]int) int {
	n := 0
	for _, j := range v.queue {
		if j.Rank == r {
			n++
		}
	}
	return n
}

// raise raises the first job of each underserved rank of a sorted queue to the rank
// above it that is served least, or to where that one's are raised. It reports whether
// it raised any.
func (v *service) raise() bool {
	raised := false
	for i, j := range v.queue {
		if i > 0 && j.Rank == v.queue[i-1].Rank {
			continue
		}
		above, ok := v.underserved(j.Rank)
		for ok {
			j.effective, j.raised = above, true
			raised = true
			above, ok = v.underserved(above)
		}
	}
	return raised
}

// expectedWait estimates how long j waits if ahead waiting jobs precede it.
// Departures that jobs which arrive later take, since they are of a higher rank, can be
// in time while j cannot, or are of teams within their share, count as lost for j. If all upstreams have limits, the
// requests of all entries leave at the sum of these.
func (s *Scheduler) expectedWait(v *service, j *Job, late bool, ahead int, now time.Time) time.Duration {
	interval := v.departureInterval
	if rate := v.limitRate(now); rate > 0 {
		interval, ahead = 1/rate, ahead+s.demandAhead(v, j, now)
	}
	taken := 0.0
	for r, c := range v.ranks {
		if rankLess(r, j.Rank) {
			taken += c.share + c.lateShare
		} else if late && r == j.Rank {
			taken += c.share
		}
	}
	taken += v.takenByTeams(j, late)
	seconds := float64(ahead) * interval / (1 - min(taken, maxTakenShare))
	if n := s.returnsWithin(v, j, time.Duration(seconds*float64(time.Second)), now); n > 0 {
		seconds += float64(n) * interval / (1 - min(taken, maxTakenShare))
	}
	return time.Duration(seconds * float64(time.Second))
}

// countAhead counts the waiting jobs that precede j if it arrives now.
func (s *Scheduler) countAhead(v *service, j *Job, now time.Time) int {
	n := 0
	late := s.late(v, j, now)
	for _, q := range v.queue {
		switch {
		case q.effective != j.effective || q.raised || q.Resumed:
			if jobLess(q, j) {
				n++
			}
		case s.late(v, q, now) != late:
			if late {
				n++
			}
		case jobLess(q, j):
			n++
		}
	}
	if len(v.queue) > 0 && !v.hasFreeSlot(now) {
		n++
	}
	return n
}
