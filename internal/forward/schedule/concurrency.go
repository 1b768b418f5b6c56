package schedule

import (
	"slices"
	"time"

	"agateward/internal/forward/concurrency"
)

const (
	// concurrencyInterval is the time between two reports of samples to the peers.
	concurrencyInterval = 500 * time.Millisecond
	// maxConcurrencyReports bounds the upstreams in one report, maxConcurrencyCounts the
	// counts of all of them, to some 400 bytes.
	maxConcurrencyReports = 8
	maxConcurrencyCounts  = 24
	// changeInterval is the least time between two changes of one upstream's limit that
	// are named, maxChanges bounds those that wait to be fetched.
	changeInterval = time.Second
	maxChanges     = 64
	// staleRatio is the multiple of the cell's mean at the same load from which the mean of
	// this entry's last answers is out of date.
	staleRatio = 10
	// trialSlack multiplies the expected time to the first event in the time that a
	// request must have left to be sent beyond a limit.
	trialSlack = 2
	// longPrompt multiplies the mean prompt. Beside a longer one a time doesn't count of
	// which the processing of that prompt may be more than longPart.
	longPrompt = 4
	longPart   = 0.25
	// promptWeight is the weight of one prompt in the mean.
	promptWeight = 0.05
	// earlyRatio is the multiple of the nominal time after which a request without a first
	// event counts as slow, if the upstream has sent something within earlyHeard.
	earlyRatio = 4
	earlyHeard = 400 * time.Millisecond
	// offsetWeight is the weight of one answer in the difference of its two ratios.
	offsetWeight = 0.05
)

// learned is what is learned of the number of requests that an upstream takes well.
type learned struct {
	limit concurrency.Limit
	// tries is true if the first slot beyond the limit is this entry's.
	tries bool
	// granted is true while a slot that a peer granted is to be used.
	granted bool
	// silentAt is the end of the last silence, longAt when a long prompt last ran.
	silentAt, longAt time.Time
	// longRunning counts the running requests with long prompts, longTime is the nominal time
	// to the first event of the last one.
	longRunning int
	longTime    float64
	// streams counts the running requests whose answer has begun.
	streams    int
	meanPrompt float64
	// offset is the mean difference of the logarithms of the ratios of the first event and
	// of the pace at similar load: an upstream may differ in both.
	offset  float64
	named   int
	namedAt time.Time
}

// ConcurrencyReport is what an entry observed at one process of an upstream.
type ConcurrencyReport struct {
	Upstream Identity           `msgpack:"u"`
	Report   concurrency.Report `msgpack:"r"`
}

// ConcurrencyChange is a change of the number of requests that an upstream gets at once.
type ConcurrencyChange struct {
	Upstream Identity
	// Old and New are numbers of requests, Slots is the upper bound.
	Old, New, Slots int
	// Ratio and RatioAbove are the mean times at New and at one more, as multiples of the
	// nominal ones; 0 is not known.
	Ratio, RatioAbove float64
	// Samples is the decayed number of samples, Age that of the newest.
	Samples float64
	Age     time.Duration
}

// learning holds the state of the exchange of samples.
type learning struct {
	reported time.Time
	reports  []ConcurrencyReport
	// next is the upstream with which the next report begins.
	next    string
	changes []ConcurrencyChange
}

// setLearned prepares an upstream whose concurrency is learned.
func (s *Scheduler) setLearned(u *upstream, now time.Time) {
	if !s.Options.LearnConcurrency || slices.Contains(s.Options.FixedConcurrency, u.Service) {
		u.learned = nil
		return
	}
	if u.learned == nil {
		u.learned = &learned{}
	}
	u.learned.limit.SetSlots(u.Slots, now)
}

// slots returns the number of requests that the upstream may run at once.
func (u *upstream) slots() int {
	if u.learned == nil {
		return u.Slots
	}
	return min(u.learned.limit.Value(), u.Slots)
}

// expected returns the ratio of the time of one more request to the nominal one. The given
// mean of this entry's last answers lags behind the load, and stays at its last value at an
// upstream that gets no requests because of it; far above what the cell sees it is out of
// date.
func (u *upstream) expected(ratio float64) float64 {
	if u.learned == nil {
		return ratio
	}
	// What was seen beyond the limit is what a trial is to show anew.
	r, exact := u.learned.limit.Expected(min(u.load()+1, u.slots()))
	if exact && ratio > staleRatio*r {
		return r
	}
	return max(ratio, r)
}

// room returns the number of requests that the upstream may get now, which is negative if
// it has too many.
func (u *upstream) room(now time.Time) int {
	switch {
	case u.learned == nil:
		return u.Slots - u.load()
	case u.trialOpen(now), u.learned.granted:
		return min(max(u.slots()-u.load(), 1), u.Slots-u.load())
	}
	return u.slots() - u.load()
}

// trialOpen reports whether this entry may send one request beyond the learned limit.
func (u *upstream) trialOpen(now time.Time) bool {
	return u.learned != nil && u.learned.tries && u.load() == u.slots() && u.slots() < u.Slots && u.learned.limit.TrialDue(now)
}

// bears reports whether j may go to u, also if that is a trial beyond the learned limit.
func (u *upstream) bears(j *Job, now time.Time) bool {
	if u.learned == nil || u.learned.granted || !u.trialOpen(now) {
		return true
	}
	return !j.Resumed && !now.Add(trialSlack*u.timeToFirst(j)).After(j.Due)
}

// setTries sets whether the first slot beyond the limit is this entry's.
func (u *upstream) setTries(own bool) {
	if u.learned != nil {
		u.learned.tries = own
	}
}

// setGranted sets whether a slot that a peer granted may be used, even if that is beyond
// the limit that this entry has learned.
func (u *upstream) setGranted(granted bool) {
	if u.learned != nil {
		u.learned.granted = granted
	}
}

// noteTrial records a dispatch or a grant that exceeds the learned limit.
func (u *upstream) noteTrial(now time.Time) {
	if u.learned != nil && u.load() > u.slots() {
		u.learned.granted = false
		u.learned.limit.BeginTrial(now)
	}
}

// noteSilence records that an upstream sends again that was silent although answers had
// begun. The times of all that ran there contain the silence.
func (u *upstream) noteSilence(now time.Time) {
	if u.learned != nil && u.learned.streams > 0 && now.Sub(u.lastHeard) > minSilence {
		u.learned.silentAt = now
	}
}

// limitChanged has the slots assigned anew and notes the change.
func (s *Scheduler) limitChanged(u *upstream, before int, now time.Time) {
	s.assignedTo = ""
	l := u.learned
	if l.namedAt.IsZero() {
		l.named = before
	}
	s.nameChange(u, now)
}

// nameChange notes the change of a limit since the last that was noted, if there is one
// and that was long enough ago.
func (s *Scheduler) nameChange(u *upstream, now time.Time) {
	l := u.learned
	value := l.limit.Value()
	if l.named == 0 {
		l.named = u.Slots
	}
	if value == l.named || !l.namedAt.IsZero() && now.Sub(l.namedAt) < changeInterval || len(s.learning.changes) >= maxChanges {
		return
	}
	c := ConcurrencyChange{Upstream: IdentityOf(&u.Replica), Old: l.named, New: value, Slots: u.Slots, Age: l.limit.Age(now)}
	c.Samples, c.Ratio, c.RatioAbove = l.limit.Samples()
	l.named, l.namedAt = value, now
	s.learning.changes = append(s.learning.changes, c)
}

// ConcurrencyChanges returns the changes of limits since the last call, at most one a
// second and upstream.
func (s *Scheduler) ConcurrencyChanges(now time.Time) []ConcurrencyChange {
	for _, u := range s.byID {
		if u.learned == nil {
			continue
		}
		before := u.learned.limit.Value()
		if u.learned.limit.Tick(now) {
			s.limitChanged(u, before, now)
		}
		s.nameChange(u, now)
	}
	list := s.learning.changes
	s.learning.changes = nil
	return list
}

// Concurrency calls f with each upstream whose number of requests is learned, and that
// number.
func (s *Scheduler) Concurrency(f func(id string, n int)) {
	for id, u := range s.byID {
		if u.learned != nil {
			f(id, u.slots())
		}
	}
}
