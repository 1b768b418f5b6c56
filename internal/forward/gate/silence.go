package gate

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"agateward/internal/forward/backend"
	"agateward/internal/forward/schedule"
	"agateward/internal/forward/stall"
	"agateward/ward"
)

const (
	// A repeatable request may move to another upstream if nothing arrives for
	// stallFactor times the predicted time, but for no less than minStreamStall or
	// minPlainStall.
	stallFactor    = 6
	minStreamStall = time.Second
	minPlainStall  = 150 * time.Millisecond
	// A stream may move after a pause of minEventPause, or of pauseFraction of the pause
	// after which its caller leaves if that is longer; a plain request after pauseFraction
	// of its time. A sound upstream may pause for a second or so, and the answer ends if
	// the next upstream fails. The rest of the time is left to that one.
	minEventPause = 1600 * time.Millisecond
	pauseFraction = 0.5
	// moveRetryDelay is the time until a request that no other upstream could take is
	// offered again.
	moveRetryDelay = 250 * time.Millisecond
)

// errMoved is the cause for which a silent attempt is cancelled: another upstream has begun
// to answer the request.
var errMoved = errors.New("the upstream stopped responding, and another one goes on")

// silence moves a repeatable request to another upstream if its own sends nothing. The
// attempt goes on until the other one has begun to answer: the upstream may have paused,
// and the other one may be silent too, or reject the request.
type silence struct {
	call   *call
	action schedule.Action
	cancel context.CancelCauseFunc
	// open returns a context for a send beside the attempt, which ends with the request.
	open func() (context.Context, context.CancelCauseFunc)
	// avoid lists the upstreams that the request was sent to.
	avoid []string
	// left is the number of sends that are allowed beside the attempt or after it. sends
	// counts those beside it, tried lists their upstreams.
	left, sends int
	tried       []string
	// mayHaveRun is true when an upstream of such a send may have run the request.
	mayHaveRun bool

	// first is the silence before the head of the answer after which the request may
	// move, 0 if it must not.
	first time.Duration

	mu    sync.Mutex
	timer *time.Timer
	watch stall.Watch
	// unread reports whether bytes have arrived that were not read, nil before there is
	// a connection.
	unread func() bool
	// started is true when part of the answer has reached the caller.
	started bool
	ended   bool
	// offer is the place in the queue for another upstream, nil for none.
	offer *offer
	// next is the dispatch that replaces the attempt, nil for none.
	next *dispatch
	// denied is the last logged reason for which the request did not move.
	denied string
}

// offer is a request that waits for another upstream during its attempt.
type offer struct {
	waiter *waiter
	// ctx ends when the request no longer has to move, or with the request.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// sent is true once the request is sent to the other upstream. done is closed when
	// it is decided what came of that.
	sent bool
	done chan struct{}
	// last is the last event that the caller has at that time, begun the answer whose head
	// it has.
	last  int64
	begun *backend.Exchange
}

// watchSilence returns the silence of an attempt that begins. cancel ends the attempt, ctx
// the request.
func (c *call) watchSilence(ctx context.Context, a schedule.Action, cancel context.CancelCauseFunc) *silence {
	s := &silence{call: c, action: a, cancel: cancel, started: c.started, left: c.route.Attempts - c.sends - 1}
	s.open = func() (context.Context, context.CancelCauseFunc) { return context.WithCancelCause(ctx) }
	s.avoid = append(slices.Clone(c.tried), a.Upstream.ID)
	if !c.route.Repeatable() || s.left <= 0 {
		return s
	}
	minimum := minPlainStall
	if c.route.Kind == ward.ForwardStream {
		minimum = minStreamStall
	} else {
		minimum = max(minimum, 2*c.route.Target.Std())
	}
	s.first = max(stallFactor*a.Predicted, minimum)
	return s
}

// maxPause returns the silence of an upstream to all after which a request may move.
func (c *call) maxPause() time.Duration {
	if c.route.Kind != ward.ForwardStream {
		return time.Duration(pauseFraction * float64(c.deadline.Sub(c.arrived)))
	}
	return max(minEventPause, time.Duration(pauseFraction*float64(c.callerPatience())))
}

// setConnected begins the watch once the request is about to be written. The time to
// connect has a bound of its own. unread is the probe for unread bytes.
func (s *silence) setConnected(unread func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unread = unread
	if s.first > 0 && !s.ended {
		s.timer = time.AfterFunc(s.watch.Wait(s.first, time.Now()), s.expire)
	}
}

// heard ends a silence; the next one begins at once. It reports whether the attempt goes
// on: it may just have been replaced.
func (s *silence) heard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdraw()
	if s.timer != nil && !s.ended {
		s.timer.Reset(s.watch.Wait(s.watch.Limit(), time.Now()))
	}
	return s.next == nil
}

// silenceReader reads a body; each of its bytes ends a silence.
type silenceReader struct {
	io.Reader
	stall *silence
}

func (r silenceReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.stall.heard()
	}
	return n, err
}

// pause ends a silence while an event or a whole body is written to the caller. It reports
// whether the attempt goes on: it may just have been replaced.
func (s *silence) pause() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Pause()
	s.withdraw()
	return s.next == nil
}

// eventRelayed begins to wait for the next event.
func (s *silence) eventRelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	if s.timer != nil && !s.ended {
		s.timer.Reset(s.watch.Wait(s.call.maxPause(), time.Now()))
	}
}

// withdraw takes the request out of the queue. The caller must hold mu.
func (s *silence) withdraw() {
	if s.offer != nil {
		s.offer.cancel(nil)
		s.offer = nil
	}
}

// endSilence ends the watch with its attempt, and sets the dispatch that replaces the
// attempt, if there is one. broken is true if the attempt has failed by itself: then a send
// beside it that another upstream may be about to answer is awaited.
func (c *call) endSilence(s *silence, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.offer; broken && o != nil && o.sent {
		s.mu.Unlock()
		<-o.done
		s.mu.Lock()
	}
	s.ended = true
	sent := s.offer != nil && s.offer.sent
	s.withdraw()
	if s.timer != nil {
		s.timer.Stop()
	}
	c.mayHaveRun = c.mayHaveRun || s.mayHaveRun || sent
	c.sends += s.sends
	c.tried = append(c.tried, s.tried...)
	if s.next != nil {
		c.next = s.next
	}
	s.sends, s.tried, s.next = 0, nil, nil
}

// expire offers the request to the other upstreams.
func (s *silence) expire() {
	s.mu.Lock()
	if s.ended || s.offer != nil || s.left <= 0 {
		s.mu.Unlock()
		return
	}
	silent, again := s.watch.Check(s.unread != nil && s.unread(), time.Now())
	if again > 0 {
		s.timer.Reset(again)
	}
	c := s.call
	if silent && !s.started {
		silent = s.expireUnbegun(time.Now())
	}
	if silent && !c.retryAllowed() {
		s.deny(noRetryBudget)
		silent = false
	}
	if !silent {
		s.mu.Unlock()
		return
	}
	o := &offer{waiter: c.gate.enqueue(c.newJob(c.service, s.avoid, s.started)), done: make(chan struct{})}
	o.ctx, o.cancel = s.open()
	s.offer = o
	s.mu.Unlock()
	select {
	case a := <-o.waiter.action:
		if s.mayBegin(o, a, c.connect(a)) {
			d, err := s.beginSuccessor(o, a)
			s.succeed(o, a, d, err)
		}
	case <-o.ctx.Done():
		c.gate.leaveQueue(o.waiter)
	}
}

// connect opens a connection for a dispatch unless one is idle. It does not end with the
// caller, as that would count as a failure of the upstream.
func (c *call) connect(a schedule.Action) error {
	if a.Upstream == nil {
		return nil
	}
	return c.gate.Pool.Connect(context.WithoutCancel(c.r.Context()), a.Upstream.Address)
}

// expireUnbegun handles the silence of an attempt that the caller has no part of. If the
// upstream answers other requests, the answer is missing, and the request is to move. If
// it is silent to all, it may have paused; the request then stays for the time for which
// a stream that has begun stays. It reports whether the request is to move. The caller
// must hold mu.
func (s *silence) expireUnbegun(now time.Time) bool {
	if s.sending(now) {
		return true
	}
	if left := s.call.maxPause() - s.watch.Silence(now); left > 0 {
		s.timer.Reset(min(left, moveRetryDelay))
		return false
	}
	return true
}

// mayBegin reports whether the request is sent to the upstream of a dispatch, unless its own
// one was heard meanwhile. unreachable is the error of the connection to that upstream.
func (s *silence) mayBegin(o *offer, a schedule.Action, unreachable error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.call
	if s.offer != o {
		c.gate.release(a)
		return false
	}
	reason := ""
	switch {
	case a.Upstream == nil:
		reason = noRetryUpstream + ": " + a.Reason
	case unreachable != nil:
		c.gate.done(a, schedule.OutcomeUnreachable)
		reason = noRetryConnection + ": " + unreachable.Error()
	case c.barredBeside(a):
		c.gate.release(a)
		reason = noRetryRequest
	case !c.chargeRetry():
		c.gate.release(a)
		reason = noRetryBudget
	default:
		o.sent, o.last, o.begun = true, c.lastEvent, c.begun
		s.left--
		s.sends++
		s.tried = append(s.tried, a.Upstream.ID)
		return true
	}
	s.offer = nil
	o.cancel(nil)
	s.deny(reason)
	return false
}

// deny leaves the request where it is and offers it again later. The caller must hold
// mu.
func (s *silence) deny(reason string) {
	if reason != s.denied {
		s.call.log.Info("attempt-silent", "upstream", s.action.Upstream.ID, "limit", s.watch.Limit(), "no-retry", reason, "elapsed", time.Since(s.call.arrived))
		s.denied = reason
	}
	s.timer.Reset(moveRetryDelay)
}

// sending reports whether the upstream sent anything else in the later half of the
// silence.
func (s *silence) sending(now time.Time) bool {
	g := s.call.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.Sending(s.action.Job.ID, now.Add(-s.watch.Silence(now)/2))
}

// hasMoved reports whether an attempt was cancelled since another upstream goes on.
func hasMoved(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errMoved) }
