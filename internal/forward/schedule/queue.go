package schedule

import (
	"sort"
	"time"
)

// Weights of the estimates of a queue.
const (
	// freedWeight is the weight of the newest interval in the smoothed time
	// between two departures.
	freedWeight = 0.1
	// longestInterval bounds one interval in seconds: an idle time says nothing
	// about how fast a queue moves.
	longestInterval = 0.5
	// patience is the part of a job's useful time that it may expect to wait
	// before it is refused at its arrival.
	patience = 0.6
)

// before tells whether a goes before b.
func before(a, b *Job) bool {
	if a.Resumed != b.Resumed {
		return a.Resumed
	}
	if a.Rank != b.Rank {
		return a.Rank[0] < b.Rank[0] || a.Rank[0] == b.Rank[0] && a.Rank[1] < b.Rank[1]
	}
	return a.OnTime.Before(b.OnTime)
}

func (v *service) insert(j *Job) {
	i := sort.Search(len(v.queue), func(i int) bool { return before(j, v.queue[i]) })
	v.queue = append(v.queue, nil)
	copy(v.queue[i+1:], v.queue[i:])
	v.queue[i] = j
}

// order sorts the queue: within a rank the jobs that can still be in time go
// before those that cannot. Under a load that lasts, all would be late otherwise.
func (s *Scheduler) order(v *service, now time.Time) {
	if len(v.queue) < 2 {
		return
	}
	late := make(map[*Job]bool)
	for _, j := range v.queue {
		if now.Add(s.fastest(v, j)).After(j.OnTime) {
			late[j] = true
		}
	}
	if len(late) == 0 {
		return
	}
	sort.SliceStable(v.queue, func(i, k int) bool {
		a, b := v.queue[i], v.queue[k]
		if a.Rank == b.Rank && a.Resumed == b.Resumed && late[a] != late[b] {
			return late[b]
		}
		return before(a, b)
	})
}

// leave notes that a job left the queue for an upstream.
func (v *service) leave(now time.Time) {
	if !v.lastFree.IsZero() {
		d := min(now.Sub(v.lastFree).Seconds(), longestInterval)
		v.freed += freedWeight * (d - v.freed)
	}
	v.lastFree = now
}

// ahead counts the waiting jobs that go before j.
func (v *service) ahead(j *Job) int {
	return sort.Search(len(v.queue), func(i int) bool { return before(j, v.queue[i]) })
}

// hopeless returns the reason to refuse a job at its arrival, or nothing.
func (s *Scheduler) hopeless(v *service, j *Job, now time.Time) string {
	usable := 0
	for _, u := range v.upstreams {
		if !u.Draining {
			usable++
		}
	}
	switch {
	case usable == 0:
		return ReasonNoUpstream
	case now.After(j.Latest):
		return ReasonTooLate
	case j.Resumed:
		return ""
	}
	wait := time.Duration(float64(v.ahead(j)) * v.freed * float64(time.Second))
	left := j.Latest.Sub(now) - s.fastest(v, j)
	if left < 0 || wait > time.Duration(patience*float64(left)) {
		return ReasonQueueLong
	}
	return ""
}

// idlePart is the part of the slots in use up to which a service has room to
// spare.
const idlePart = 0.7

// Idle tells whether the upstreams of a service have room to spare.
func (s *Scheduler) Idle(name string) bool {
	v := s.services[name]
	if v == nil || len(v.queue) > 0 {
		return false
	}
	slots, load := 0, 0
	for _, u := range v.upstreams {
		if !u.Draining {
			slots += u.Slots
			load += u.load()
		}
	}
	return float64(load) < idlePart*float64(slots)
}
