package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stopPlay is an entry that is stopped while requests come and run. Upstreams take other
// times than it expects.
type stopPlay struct {
	s         *Scheduler
	now       time.Time
	late, end time.Time
	slowness  func() float64
	pause     func() time.Duration
	running   map[uint64]stopRun
}

// stopRun is a request at an upstream; sent is when its caller sent it.
type stopRun struct {
	sent, ends time.Time
}

func (p *stopPlay) apply(actions []Action) {
	for _, a := range actions {
		if a.Job == nil || a.Upstream == nil {
			continue
		}
		expected := p.s.byID[a.Upstream.ID].timeToLast(a.Job)
		ends := p.now.Add(time.Duration(p.slowness()*float64(expected)) + p.pause())
		if d := a.Job.Deadline; !d.IsZero() && d.Before(ends) {
			ends = d // the entry answers at the deadline
		}
		p.running[a.Job.ID] = stopRun{sent: a.Job.Arrived, ends: ends}
	}
}

// step ends the requests that are due and lets time pass.
func (p *stopPlay) step(d time.Duration) {
	p.now = p.now.Add(d)
	for id, r := range p.running {
		if !r.ends.After(p.now) {
			delete(p.running, id)
			p.s.FirstEvent(id, p.now)
			p.apply(p.s.Done(id, OutcomeOK, p.now))
		}
	}
	p.apply(p.s.Tick(p.now))
}

// Guards against requests that are sent late in a stop and cut at the exit, whatever their
// upstreams take: 0.5 to 10 times what is expected, with pauses of up to 2.5 s. Only requests that were
// sent before may still run then.
func TestNoLateRequestRunsAtTheExit(t *testing.T) {
	const step = 20 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		grace := time.Duration(rapid.IntRange(2000, 12000).Draw(t, "grace")) * time.Millisecond
		p := &stopPlay{
			s:   newScheduler("entry-1", engines(rapid.IntRange(1, 4).Draw(t, "upstreams"), rapid.IntRange(1, 4).Draw(t, "slots"))),
			now: start, running: make(map[uint64]stopRun),
			slowness: func() float64 { return 0.5 + 9.5*r.Float64()*r.Float64() },
			pause: func() time.Duration {
				if r.IntN(4) > 0 {
					return 0
				}
				return time.Duration((0.5 + 2*r.Float64()) * float64(time.Second))
			},
		}
		stopAt := start.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "stop")) * time.Millisecond)
		p.late, p.end = stopAt.Add(min(2600*time.Millisecond, grace/2)), stopAt.Add(grace*9/10)
		every := rapid.IntRange(1, 30).Draw(t, "every")
		stopped := false
		for n := uint64(1); p.now.Before(p.end); n++ {
			if !stopped && !p.now.Before(stopAt) {
				stopped = true
				p.s.Stop(p.late, p.end)
			}
			if r.IntN(every) == 0 {
				j := job(n, r.IntN(3), p.now)
				j.Output = r.IntN(4) * r.IntN(400)
				j.Deadline = [...]time.Time{{}, p.now.Add(time.Second), p.now.Add(8 * time.Second)}[r.IntN(3)]
				if stopped {
					j.EndBy = p.end
				}
				p.apply(p.s.Arrive(j, p.now))
			}
			p.step(step)
		}
		for id, run := range p.running {
			if run.ends.After(p.end) && !run.sent.Before(p.late) {
				t.Errorf("request %d, sent %v after the stop, runs at the exit", id, run.sent.Sub(stopAt))
			}
		}
		if n := p.s.Waiting(); n > 0 {
			t.Errorf("%d requests wait at the exit", n)
		}
	})
}
