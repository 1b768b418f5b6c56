package schedule

import (
	"maps"
	"math"
	"slices"
	"time"
)

// sample is the observation of a dispatched job.
type sample struct {
	// running are the numbers of requests at the upstream at the dispatch and at the first
	// event, with this one.
	running, runningFirst int
	// first and pace are the ratios of the observed times to the nominal ones, 0 for none.
	first, pace float64
	firstAt     time.Time
	long        bool
	// early is true once the request counted although nothing had arrived.
	early bool
	// excluded is true if the answer says nothing of the upstream's load.
	excluded bool
}

// beginSample begins to observe a dispatched job.
func (r *running) beginSample() {
	u := r.upstream
	if u.learned == nil {
		return
	}
	r.sample.running = u.load()
	r.sample.excluded = r.job.Resumed
	l := u.learned
	if p := float64(r.job.Prompt); p > 0 {
		if l.meanPrompt == 0 {
			l.meanPrompt = p
		}
		l.meanPrompt += promptWeight * (p - l.meanPrompt)
		r.sample.long = p > longPrompt*l.meanPrompt
	}
	if r.sample.long {
		l.longRunning++
		l.longTime = r.nominal
	}
}

// sampleFirst counts the time to the first event as a multiple of the nominal one. It
// counts at once: at an upstream beyond its knee answers take long to end.
func (s *Scheduler) sampleFirst(r *running, ratio float64, now time.Time) {
	p := &r.sample
	p.first, p.firstAt, p.runningFirst = ratio, now, r.upstream.load()
	l := r.upstream.learned
	if l == nil {
		return
	}
	l.streams++
	if r.counts(now) {
		s.observeConcurrency(r.upstream, float64(p.running+p.runningFirst)/2, ratio*math.Exp(-l.offset), now)
	}
}

// sampleEarly counts the requests that wait for their first event for much longer than the
// nominal time, once each, if the upstream sends to others.
func (s *Scheduler) sampleEarly(now time.Time) {
	if !s.Options.LearnConcurrency {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		r := s.jobs[id]
		u, ratio := r.upstream, now.Sub(r.sent).Seconds()/r.nominal
		if u.learned == nil || r.started || r.sample.early || ratio < earlyRatio || now.Sub(u.lastHeard) > earlyHeard || !r.counts(now) {
			continue
		}
		r.sample.early = true
		s.observeConcurrency(u, float64(r.sample.running+u.load())/2, ratio*math.Exp(-u.learned.offset), now)
	}
}

// counts reports whether the time of r says something of the upstream's load.
func (r *running) counts(now time.Time) bool {
	l, p := r.upstream.learned, &r.sample
	beside := (l.longRunning > 0 || r.sent.Before(l.longAt)) && l.longTime > longPart*now.Sub(r.sent).Seconds()
	return !p.excluded && (p.long || !beside) && !r.sent.Before(l.silentAt) && r.loan == nil
}

// samplePace records the time per token as a multiple of the nominal one.
func (r *running) samplePace(ratio float64) { r.sample.pace = ratio }

// ExcludeSample keeps the answer to a dispatched job from counting as an observation of how
// its upstream bears its load.
func (s *Scheduler) ExcludeSample(id uint64) {
	if r := s.jobs[id]; r != nil {
		r.sample.excluded = true
	}
}

// endSample counts the observation of a job that has ended with an outcome. The load of the
// upstream contains it no more.
func (s *Scheduler) endSample(r *running, o Outcome, now time.Time) {
	u := r.upstream
	l := u.learned
	if l == nil {
		return
	}
	counts := o == OutcomeOK && r.counts(now)
	if r.started {
		l.streams = max(l.streams-1, 0)
	}
	if r.sample.long {
		l.longRunning--
		l.longAt = now
	}
	if !counts {
		return
	}
	p, last := &r.sample, u.load()+1
	switch {
	case p.first == 0:
		s.observeConcurrency(u, float64(p.running+last)/2, now.Sub(r.sent).Seconds()/r.nominal, now)
	case p.pace > 0:
		if d := p.running - last; d >= -1 && d <= 1 {
			l.offset += offsetWeight * (math.Log(p.first/p.pace) - l.offset)
		}
		s.observeConcurrency(u, float64(p.runningFirst+last)/2, p.pace, now)
	}
}

// observeConcurrency counts one observation.
func (s *Scheduler) observeConcurrency(u *upstream, running, ratio float64, now time.Time) {
	before := u.learned.limit.Value()
	if u.learned.limit.Observe(int(running+0.5), ratio, now) {
		s.limitChanged(u, before, now)
	}
}
