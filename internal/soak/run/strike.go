package run

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"agateward/internal/soak/caller"
	"agateward/internal/soak/ledger"
	"agateward/internal/soak/plan"
	"agateward/internal/soak/proxy"
	"agateward/internal/soak/upstream"
	"agateward/ward"

	"github.com/sourcegraph/conc"
)

const (
	// balancerNotice is the time after which a balancer that polls once per second sends
	// no new connections to a stopping entry.
	balancerNotice = 2 * time.Second
	// drainTime is how long an upstream keeps serving after it was marked as draining:
	// the bound that the platform states, plus a margin.
	drainTime = 4 * time.Second
	// graceSlack is how long after its grace period a process may end.
	graceSlack = time.Second
	// lateRequests is the number of requests to an entry that stops, at any time of its grace.
	lateRequests = 8
	// maxUnused is the longest time for which a new connection carries nothing before such a
	// request. A third of the requests have a body in up to maxParts parts, each at most
	// maxPartInterval after the one before.
	maxUnused       = 1500 * time.Millisecond
	maxParts        = 3
	maxPartInterval = 300 * time.Millisecond
)

// injectFault injects one fault and removes it after its duration.
func (s *Soak) injectFault(ctx context.Context, f plan.Fault) {
	s.Log.Info("fault", "kind", f.Kind, "at", f.At, "for", f.Duration, "how", f.Variant, "target", f.Target)
	switch f.Kind {
	case plan.Configure:
		s.logError(s.configure())
	case plan.Rollout:
		if s.tryAcquire(&s.rolloutActive) {
			s.rollout(ctx, f.Variant == plan.Bad)
			s.release(&s.rolloutActive)
		}
	case plan.StoreCompact:
		s.Store.Compact()
	case plan.StoreFault:
		end := s.ledger.Disturb(ledger.Store, false, time.Now())
		s.Store.InjectFault(f.Variant)
		sleep(ctx, f.Duration)
		s.Store.InjectFault("")
		end(time.Now())
	case plan.AllKill:
		for _, e := range s.entries {
			if s.tryAcquire(&e.busy) {
				s.restart(ctx, e, f.Duration/4)
				s.release(&e.busy)
			}
		}
	case plan.EntriesStop:
		s.stopEntries(ctx, f)
	case plan.EntryStop, plan.EntryKill, plan.EntryPause, plan.EntryReload, plan.StoreLink:
		s.injectEntryFault(ctx, s.entries[f.Target%len(s.entries)], f)
	case plan.UpstreamRanRefused, plan.UpstreamRepeat, plan.UpstreamPause, plan.UpstreamLimit:
		s.injectAnswerFault(ctx, s.replicas[f.Target%len(s.replicas)], f)
	case plan.UpstreamEndless:
		s.injectEndless(ctx, s.replicas[f.Target%len(s.replicas)], f.Duration)
	case plan.UpstreamSilence:
		s.injectSilence(ctx, s.replicas[f.Target%len(s.replicas)], f.Duration)
	case plan.EnginesSilence:
		s.silenceEngines(ctx, f.Duration)
	case plan.PromptCrash, plan.RequestCrash:
		s.sendCrashing(ctx, f)
	case plan.EnginesRefuse:
		s.refuseAtEngines(ctx, f)
	default:
		r := s.replicas[f.Target%len(s.replicas)]
		if s.tryAcquire(&r.busy) {
			s.injectUpstreamFault(ctx, r, f)
			s.release(&r.busy)
		}
	}
}

// injectEntryFault injects a fault of one entry, unless another one affects it.
func (s *Soak) injectEntryFault(ctx context.Context, e *entry, f plan.Fault) {
	if !s.tryAcquire(&e.busy) {
		if f.Kind == plan.EntryReload {
			s.reloadStopping(e)
		}
		return
	}
	defer s.release(&e.busy)
	switch f.Kind {
	case plan.EntryKill:
		s.restart(ctx, e, f.Duration)
	case plan.EntryReload:
		defer s.ledger.Disturb(e.name, true, time.Now())(time.Now())
		e.Signal(syscall.SIGHUP)
	case plan.EntryPause:
		end := s.ledger.Disturb(e.name, false, time.Now())
		e.Signal(syscall.SIGSTOP)
		sleep(ctx, f.Duration)
		e.Signal(syscall.SIGCONT)
		end(time.Now())
	case plan.StoreLink:
		end := s.ledger.Disturb(e.name, false, time.Now())
		e.link.Set(proxy.Mode(f.Variant))
		sleep(ctx, f.Duration)
		e.link.Set(proxy.Pass)
		end(time.Now())
	case plan.EntryStop:
		s.stopEntry(e, f)
	}
}

// stopEntry stops an entry as planned and starts it again.
func (s *Soak) stopEntry(e *entry, f plan.Fault) {
	defer s.askLate(e, f).Wait()
	end := s.ledger.Disturb(e.name, true, time.Now())
	e.Signal(syscall.SIGTERM)
	s.setStopping(e, true)
	noticed := time.AfterFunc(balancerNotice, func() { s.setInRotation(e, false) })
	if !e.Await(grace + graceSlack) {
		s.ledger.Report("grace", e.name, time.Now(), "is still running %s after the signal to stop", grace+graceSlack)
		e.Kill()
	}
	noticed.Stop()
	s.setStopping(e, false)
	s.logError(e.Start())
	s.setInRotation(e, true)
	end(time.Now())
}

// stopEntries stops all entries but one, within the duration of f of each other.
func (s *Soak) stopEntries(ctx context.Context, f plan.Fault) {
	r := rand.New(rand.NewPCG(s.Seed, uint64(f.At)))
	var wg conc.WaitGroup
	for i := range len(s.entries) - 1 {
		e, after := s.entries[(f.Target+i)%len(s.entries)], time.Duration(r.Float64()*float64(f.Duration))
		wg.Go(func() {
			sleep(ctx, after)
			if s.tryAcquire(&e.busy) {
				s.stopEntry(e, plan.Fault{At: f.At + after})
				s.release(&e.busy)
			}
		})
	}
	wg.Wait()
}

// reloadStopping makes an entry read its settings again if it stops.
func (s *Soak) reloadStopping(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.stopping {
		e.Signal(syscall.SIGHUP)
	}
}

func (s *Soak) setStopping(e *entry, stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.stopping = stopping
}

// askLate opens connections to an entry that is about to be stopped, and sends requests on
// them and on later ones in its grace. Bodies may come in parts.
func (s *Soak) askLate(e *entry, f plan.Fault) *conc.WaitGroup {
	r := rand.New(rand.NewPCG(s.Seed, uint64(f.At)))
	var wg conc.WaitGroup
	var kept sync.WaitGroup
	for i := range lateRequests {
		at := time.Now().Add(time.Duration(r.Float64() * float64(grace)))
		late, c := s.newRequest(e), caller.Caller{Dialect: s.Dialect, Ledger: &s.ledger}
		if r.IntN(3) == 0 {
			for range 1 + r.IntN(maxParts) {
				late.Pauses = append(late.Pauses, time.Duration(r.Float64()*float64(maxPartInterval)))
			}
		}
		if i%2 == 0 {
			open := at.Add(-time.Duration(r.Float64() * float64(maxUnused)))
			wg.Go(func() {
				time.Sleep(time.Until(open))
				c.SendLater(late, func() { time.Sleep(time.Until(at)) })
			})
			continue
		}
		first := s.newRequest(e)
		first.Path, first.Kind, first.Resumable, first.Service, first.Timeout = "/stock/x", ward.ForwardSafe, false, orders, restTimeout
		first.Version, first.MayLeave, first.LeaveAfter = 0, false, 0
		kept.Add(1)
		wg.Go(func() {
			c.SendTwice(first, late, func() {
				kept.Done()
				time.Sleep(time.Until(at))
			})
		})
	}
	kept.Wait()
	return &wg
}

// restart kills an entry and starts it again after the given time.
func (s *Soak) restart(ctx context.Context, e *entry, after time.Duration) {
	end := s.ledger.Disturb(e.name, false, time.Now())
	e.Kill()
	s.setInRotation(e, false)
	sleep(ctx, after)
	s.logError(e.Start())
	s.setInRotation(e, true)
	end(time.Now())
}

func (s *Soak) injectUpstreamFault(ctx context.Context, r *replica, f plan.Fault) {
	id := ""
	switch f.Kind {
	case plan.UpstreamLink:
		end := s.ledger.Disturb(r.server.ID, false, time.Now())
		r.link.Set(proxy.Mode(f.Variant))
		sleep(ctx, f.Duration)
		r.link.Set(proxy.Pass)
		end(time.Now())
		return
	case plan.UpstreamDrain:
		r.reg.Draining = true
		s.logError(s.Store.Register(r.reg))
		s.ledger.Draining(r.server.ID, time.Now())
		sleep(ctx, drainTime)
	case plan.UpstreamLeave:
		r.server.Leave()
		sleep(ctx, drainTime)
	case plan.UpstreamRestart:
		id = r.server.ID
	}
	planned := f.Kind == plan.UpstreamDrain || f.Kind == plan.UpstreamLeave
	end := s.ledger.Disturb(r.server.ID, planned, time.Now())
	old, link, gone := r.server, r.link, r.reg.ID
	old.Crash()
	link.Close()
	if id == "" {
		sleep(ctx, f.Duration/2)
		s.Store.Withdraw(gone)
	}
	sleep(ctx, f.Duration/2)
	s.logError(s.startUpstream(r, id))
	end(time.Now())
}

// injectAnswerFault makes answers of a replica wrong, also while another fault affects
// the replica. It is no disturbance: it excuses no incomplete answer.
func (s *Soak) injectAnswerFault(ctx context.Context, r *replica, f plan.Fault) {
	s.mu.Lock()
	answers := r.answers
	s.mu.Unlock()
	if f.Kind == plan.UpstreamLimit {
		s.injectLimit(ctx, answers, f)
		return
	}
	value, err := strconv.ParseInt(f.Variant, 10, 64)
	s.logError(err)
	fault := &answers.RanRefused
	switch f.Kind {
	case plan.UpstreamRepeat:
		fault = &answers.Repeat
	case plan.UpstreamPause:
		fault = &answers.Pause
	}
	fault.Store(value)
	sleep(ctx, f.Duration)
	fault.Store(0)
}

// injectLimit makes answers state a limit, unless they state one already.
func (s *Soak) injectLimit(ctx context.Context, answers *upstream.Answers, f plan.Fault) {
	perSecond, err := strconv.ParseFloat(f.Variant, 64)
	s.logError(err)
	if answers.SetLimit(perSecond) {
		sleep(ctx, f.Duration)
		answers.Limit.Store(0)
	}
}

// injectEndless makes answers of a replica go on without end for d.
func (s *Soak) injectEndless(ctx context.Context, r *replica, d time.Duration) {
	s.mu.Lock()
	answers, id := r.answers, r.server.ID
	s.mu.Unlock()
	end := s.ledger.Disturb(id, false, time.Now())
	answers.Endless.Store(true)
	sleep(ctx, d)
	answers.Endless.Store(false)
	end(time.Now())
}

// injectSilence makes a replica send nothing for d, also while another fault affects it,
// but not while it is silent already: the silence would get longer. It is no disturbance
// either.
func (s *Soak) injectSilence(ctx context.Context, r *replica, d time.Duration) {
	s.mu.Lock()
	answers := r.answers
	s.mu.Unlock()
	if answers.SilentUntil.CompareAndSwap(0, time.Now().Add(d).UnixNano()) {
		sleep(ctx, d)
		answers.SilentUntil.Store(0)
	}
}

// silenceEngines makes all engines send nothing for d, right after a new configuration.
func (s *Soak) silenceEngines(ctx context.Context, d time.Duration) {
	s.logError(s.configure())
	var wg conc.WaitGroup
	for _, r := range s.replicas[:engineCount] {
		wg.Go(func() { s.injectSilence(ctx, r, d) })
	}
	wg.Wait()
}

// refuseAtEngines injects both faults of answers at all engines. It excuses no incomplete
// answer, as a planned disturbance.
func (s *Soak) refuseAtEngines(ctx context.Context, f plan.Fault) {
	end := s.ledger.Disturb(ledger.Engines, true, time.Now())
	var wg conc.WaitGroup
	for _, r := range s.replicas[:engineCount] {
		for _, kind := range []plan.Kind{plan.UpstreamRanRefused, plan.UpstreamRepeat} {
			wg.Go(func() { s.injectAnswerFault(ctx, r, plan.Fault{Kind: kind, Duration: f.Duration, Variant: f.Variant}) })
		}
	}
	wg.Wait()
	end(time.Now())
}

func (s *Soak) tryAcquire(busy *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *busy {
		return false
	}
	*busy = true
	return true
}

func (s *Soak) release(busy *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*busy = false
}

func (s *Soak) setInRotation(e *entry, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.inRotation = open
}

// logError logs a failure of the soak itself. The run continues.
func (s *Soak) logError(err error) {
	if err != nil {
		s.Log.Error(err, "fault-not-played")
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
