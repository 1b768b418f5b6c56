package schedule

import (
	"hash/fnv"
	"time"

	"agateward/internal/forward/returns"
)

// usefulFraction is the part of a caller's time up to which it honours Retry-After: a
// third, less what passes before the request arrives and after the refusal leaves.
const usefulFraction = 0.32

// Offer is a place in which the caller of a refused job may come back. It becomes a promise
// with Promise; else it has to be given back with Withdraw.
type Offer struct {
	from time.Time
}

// returnLess reports whether a is dispatched before b, and whether that follows from one of
// them being a return: it precedes the other jobs of its rank that are in time as it is, or
// late as it is. Late returns before jobs in time cost more of these than they gained.
func returnLess(a, b *Job) (less, decided bool) {
	return a.Returned, a.Returned != b.Returned
}

// book returns the book of promises.
func (s *Scheduler) book() *returns.Book {
	if s.promises.Seed == 0 {
		h := fnv.New64a()
		// Write of a hash returns no error.
		_, _ = h.Write([]byte(s.Name))
		s.promises.Seed = (h.Sum64() ^ s.Start) | 1
	}
	return &s.promises
}

// wantsRoom reports whether a job is refused since there is no room for it.
func wantsRoom(reason string) bool {
	return reason == ReasonQueueLong || reason == ReasonTooLate || reason == ReasonLimited
}

// placeReturn replaces the retry delay of a refusal for want of room by the time at which the
// caller is expected to find room. Without such a time, the refusal offers no place, and its
// delay is bounded by what the caller accepts.
func (s *Scheduler) placeReturn(v *service, a *Action, now time.Time) {
	j := a.Job
	if !s.Options.PreferReturns || !wantsRoom(a.Reason) {
		return
	}
	a.WantsRoom = true
	end := j.Deadline
	if end.IsZero() {
		end = j.Expires
	}
	latest := min(time.Duration(usefulFraction*float64(end.Sub(now))), maxRetryAfter)
	if latest < minRetryAfter {
		return
	}
	a.RetryAfter = min(a.RetryAfter, latest)
	if j.Returned || j.Resumed || len(j.Avoid) > 0 {
		return
	}
	rate := v.departures(j.Rank, now)
	r := returns.Room{Service: v.name, Rank: j.Rank, PerSecond: rate, Latest: latest, Spread: s.Rand.Float64()}
	if rate > 0 {
		r.Earliest = time.Duration(float64(v.waitingOf(j.Rank)) / rate * float64(time.Second))
	}
	if accepted := time.Duration(maxWaitFraction * float64(j.Expires.Sub(now))); accepted >= latest {
		// Such a caller is refused only when more waits than leaves until it comes back, so
		// it would never be promised a place.
		r.Earliest = min(r.Earliest, latest/2)
	}
	from, ok := s.book().Reserve(r, now)
	if !ok {
		return
	}
	a.Offer = &Offer{from}
	a.RetryAfter = from.Sub(now)
}

// departures returns the smoothed number of departures a second of a rank and those below.
func (v *service) departures(rank [2]int, now time.Time) float64 {
	n := 0.0
	for r, c := range v.ranks {
		if !rankLess(r, rank) {
			c.decay(now)
			n += c.dispatched
		}
	}
	return n / rankMemory.Seconds()
}

// returnsWithin counts the callers that come back within a time and then precede j. Few of
// them can still be in time, so they don't precede a job that can.
func (s *Scheduler) returnsWithin(v *service, j *Job, d time.Duration, now time.Time) int {
	if !s.Options.PreferReturns || j.Returned || !s.late(v, j, now) {
		return 0
	}
	return s.promises.Reserved(v.name, j.Rank, now, now.Add(d))
}

// Promise promises the offered place of a refusal to the caller of the request with the given
// digest. It returns the retry delay: that of an earlier promise if the request has one. It
// returns false if no more promises can be held.
func (s *Scheduler) Promise(a Action, digest uint64, now time.Time) (time.Duration, bool) {
	p := returns.Promise{Key: returns.Key{Digest: digest}, Service: a.Job.Service, Rank: a.Job.Rank, Arrived: a.Job.Arrived, From: a.Offer.from}
	p, ok := s.book().Give(p, now)
	if !ok {
		return a.RetryAfter, false
	}
	return p.From.Sub(now), true
}

// Withdraw gives the offered place of a refusal back.
func (s *Scheduler) Withdraw(a Action) {
	if a.Offer != nil {
		s.promises.Release(a.Job.Service, a.Offer.from)
	}
}

// ReturnsDue reports whether a request that arrives now may be a return.
func (s *Scheduler) ReturnsDue(now time.Time) bool {
	return s.Options.PreferReturns && s.promises.Due(now)
}

// TakeReturn uses the promise of a request that has come back, if one is due.
func (s *Scheduler) TakeReturn(digest uint64, now time.Time) (returns.Promise, bool) {
	return s.book().Take(digest, now)
}

// ReturnNews returns the promises given and used that the other entries were not told yet.
func (s *Scheduler) ReturnNews(now time.Time) returns.News { return s.promises.News(now) }

// HasReturnNews reports whether ReturnNews has any.
func (s *Scheduler) HasReturnNews() bool { return s.promises.HasNews() }

// LearnReturns takes over what another entry tells of promises, and returns the number of
// those that are invalid and ignored.
func (s *Scheduler) LearnReturns(n returns.News, now time.Time) int {
	if !s.Options.PreferReturns {
		return 0
	}
	return s.book().Learn(n, now)
}

// OpenPromises returns the number of promises that are held.
func (s *Scheduler) OpenPromises(now time.Time) int { return s.promises.Len(now) }
