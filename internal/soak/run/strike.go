package run

import (
	"context"
	"syscall"
	"time"

	"agateward/internal/soak/ledger"
	"agateward/internal/soak/plan"
	"agateward/internal/soak/proxy"
)

const (
	// balancerNotice is the time until a balancer that asks once a second sends an
	// entry that is stopping no new connections.
	balancerNotice = 2 * time.Second
	// drainFor is how long an upstream serves on after it said that it leaves: the
	// platform's bound and some more.
	drainFor = 4 * time.Second
	// graceSlack is how much later than its grace a process may end.
	graceSlack = time.Second
)

// strike carries out one fault and mends it.
func (s *Soak) strike(ctx context.Context, f plan.Fault) {
	s.Log.Info("fault", "kind", f.Kind, "at", f.At, "for", f.For, "how", f.How, "target", f.Target)
	switch f.Kind {
	case plan.Configure:
		s.failed(s.configure())
	case plan.Rollout:
		if s.take(&s.rolling) {
			s.rollout(ctx, f.How == plan.Bad)
			s.free(&s.rolling)
		}
	case plan.StoreCompact:
		s.Store.Compact()
	case plan.StoreFault:
		end := s.ledger.Harm(ledger.Store, false, time.Now())
		s.Store.InjectFault(f.How)
		wait(ctx, f.For)
		s.Store.InjectFault("")
		end(time.Now())
	case plan.AllKill:
		for _, e := range s.entries {
			if s.take(&e.busy) {
				s.restart(ctx, e, f.For/4)
				s.free(&e.busy)
			}
		}
	case plan.EntryStop, plan.EntryKill, plan.EntryPause, plan.EntryReload, plan.StoreLink:
		e := s.entries[f.Target%len(s.entries)]
		if s.take(&e.busy) {
			s.strikeEntry(ctx, e, f)
			s.free(&e.busy)
		}
	default:
		r := s.replicas[f.Target%len(s.replicas)]
		if s.take(&r.busy) {
			s.strikeReplica(ctx, r, f)
			s.free(&r.busy)
		}
	}
}

func (s *Soak) strikeEntry(ctx context.Context, e *entry, f plan.Fault) {
	switch f.Kind {
	case plan.EntryKill:
		s.restart(ctx, e, f.For)
	case plan.EntryReload:
		defer s.ledger.Harm(e.name, true, time.Now())(time.Now())
		e.Signal(syscall.SIGHUP)
	case plan.EntryPause:
		end := s.ledger.Harm(e.name, false, time.Now())
		e.Signal(syscall.SIGSTOP)
		wait(ctx, f.For)
		e.Signal(syscall.SIGCONT)
		end(time.Now())
	case plan.StoreLink:
		end := s.ledger.Harm(e.name, false, time.Now())
		e.link.Set(proxy.Mode(f.How))
		wait(ctx, f.For)
		e.link.Set(proxy.Pass)
		end(time.Now())
	case plan.EntryStop:
		end := s.ledger.Harm(e.name, true, time.Now())
		e.Signal(syscall.SIGTERM)
		noticed := time.AfterFunc(balancerNotice, func() { s.setOpen(e, false) })
		if !e.Await(grace + graceSlack) {
			s.ledger.Report("grace", e.name, time.Now(), "still runs %s after the signal to stop", grace+graceSlack)
			e.Kill()
		}
		noticed.Stop()
		s.failed(e.Start())
		s.setOpen(e, true)
		end(time.Now())
	}
}

// restart kills an entry and starts it again after a while.
func (s *Soak) restart(ctx context.Context, e *entry, after time.Duration) {
	end := s.ledger.Harm(e.name, false, time.Now())
	e.Kill()
	s.setOpen(e, false)
	wait(ctx, after)
	s.failed(e.Start())
	s.setOpen(e, true)
	end(time.Now())
}

func (s *Soak) strikeReplica(ctx context.Context, r *replica, f plan.Fault) {
	id := ""
	switch f.Kind {
	case plan.UpstreamLink:
		end := s.ledger.Harm(r.up.ID, false, time.Now())
		r.link.Set(proxy.Mode(f.How))
		wait(ctx, f.For)
		r.link.Set(proxy.Pass)
		end(time.Now())
		return
	case plan.UpstreamDrain:
		r.reg.Draining = true
		s.failed(s.Store.Register(r.reg))
		s.ledger.Leaving(r.up.ID, time.Now())
		wait(ctx, drainFor)
	case plan.UpstreamReborn:
		id = r.up.ID
	}
	end := s.ledger.Harm(r.up.ID, f.Kind == plan.UpstreamDrain, time.Now())
	old, link, gone := r.up, r.link, r.reg.ID
	old.Crash()
	link.Close()
	if id == "" {
		wait(ctx, f.For/2)
		s.Store.Withdraw(gone)
	}
	wait(ctx, f.For/2)
	s.failed(s.place(r, id))
	end(time.Now())
}

func (s *Soak) take(busy *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *busy {
		return false
	}
	*busy = true
	return true
}

func (s *Soak) free(busy *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*busy = false
}

func (s *Soak) setOpen(e *entry, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.open = open
}

// failed logs what the soak itself could not do; the run goes on without it.
func (s *Soak) failed(err error) {
	if err != nil {
		s.Log.Error(err, "fault-not-played")
	}
}

// wait waits for d, also past the end of ctx when less than a moment is left.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
