package gate

import (
	"context"
	"sync"
	"time"

	"agateward/internal/forward/schedule"
	"agateward/ward"
)

// silence cancels the attempt of a repeatable request whose upstream sends nothing.
type silence struct {
	call     *call
	upstream string
	cancel   context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	limit time.Duration
	due   time.Time
}

// watchSilence returns the silence of an attempt that begins.
func (c *call) watchSilence(a schedule.Action, cancel context.CancelCauseFunc) *silence {
	s := &silence{call: c, upstream: a.Upstream.ID, cancel: cancel}
	if !c.route.Repeatable() || c.sends+1 >= c.route.Attempts {
		return s
	}
	minimum := minPlainStall
	if c.route.Kind == ward.ForwardStream {
		minimum = minStreamStall
	} else {
		minimum = max(minimum, 2*c.route.Target.Std())
	}
	s.reset(max(stallFactor*a.Predicted, minimum))
	return s
}

// reset starts the silence anew: something arrived.
func (s *silence) reset(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.due = limit, time.Now().Add(limit)
	if s.timer == nil {
		s.timer = time.AfterFunc(limit, s.expire)
		return
	}
	s.timer.Reset(limit)
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (s *silence) expire() {
	s.mu.Lock()
	limit, late := s.limit, time.Since(s.due)
	s.mu.Unlock()
	s.call.log.Info("attempt-silent", "upstream", s.upstream, "limit", limit, "timer-late", late, "elapsed", time.Since(s.call.arrived))
	s.cancel(errStalled)
}
