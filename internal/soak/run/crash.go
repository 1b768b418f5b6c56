package run

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	// crashingInterval is the mean time between two requests under which engines crash.
	crashingInterval = 300 * time.Millisecond
	// crashingOnceShare is the share of them on the route that allows one run.
	crashingOnceShare = 0.25
	// minDown and maxDown bound the time until a crashed engine is back.
	minDown, maxDown = time.Second, 2 * time.Second
	// maxCrashed bounds the engines that wait for their restart.
	maxCrashed = 64
	// soundParts is the number of parts that sound requests share, beside their first one.
	soundParts = 5
	// promptCrashStream and requestCrashStream number the random numbers of requests under
	// which upstreams crash.
	promptCrashStream  = 7
	requestCrashStream = 9
)

// crashPart is the part of prompts under which engines crash. firstParts is, by team, the
// first part of all prompts.
var (
	crashPart  = ward.PromptPart{ID: 0xbad0, Tokens: 120}
	firstParts = map[string]ward.PromptPart{largeTeam: {ID: 0xa1, Tokens: 800}, smallTeam: {ID: 0xa2, Tokens: 600}}
)

// soundPart returns the n-th of the parts that sound requests share.
func soundPart(n int) ward.PromptPart {
	return ward.PromptPart{ID: 0xc0 + uint64(n%soundParts), Tokens: 200}
}

// upstreamCrash is the crash of an upstream of a replica.
type upstreamCrash struct {
	replica *replica
	cause   ledger.Crash
	server  *upstream.Upstream
	link    *proxy.Proxy
	// end ends the disturbance of the upstream.
	end func(time.Time)
}

// crashPath returns the path of the request that comes again and under which the upstreams
// of orders crash, on a route that allows repeats or on one that does not.
func (s *Soak) crashPath() string {
	if s.Seed%2 == 0 {
		return "/stock/crash"
	}
	return "/order/crash"
}

// sendCrashing sends requests under which upstreams crash to any entry, for the duration of
// a fault.
func (s *Soak) sendCrashing(ctx context.Context, f plan.Fault) {
	r, next := rand.New(rand.NewPCG(s.Seed, promptCrashStream)), s.crashingRequest
	if f.Kind == plan.RequestCrash {
		r, next = rand.New(rand.NewPCG(s.Seed, requestCrashStream)), s.crashingAgain
	}
	c := caller.Caller{Dialect: s.Dialect, Ledger: &s.ledger}
	var wg conc.WaitGroup
	defer wg.Wait()
	for end := time.Now().Add(f.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		req := next(r)
		wg.Go(func() { s.countAnswer(c.SendOnce(req)) })
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(crashingInterval)))
	}
}

// crashingAgain returns the request that comes again and under which upstreams crash.
func (s *Soak) crashingAgain(r *rand.Rand) caller.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	e := s.drawEntry(r)
	a := caller.Request{Address: e.address, Host: host, Key: largeKey, Path: s.crashPath()}
	a.Request = ledger.Request{
		ID: fmt.Sprintf("%d-%d", s.Seed, s.asked), Team: largeTeam, Kind: ward.ForwardUnsafe, Service: orders,
		Entry: e.name, Start: e.StartCount(), Timeout: restTimeout, Crash: ledger.RequestCrash,
	}
	if s.Seed%2 == 0 {
		a.Kind = ward.ForwardSafe
	}
	return a
}

// crashingRequest returns a request with crashPart. It shares the key and its other parts
// with sound requests.
func (s *Soak) crashingRequest(r *rand.Rand) caller.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	e := s.drawEntry(r)
	a := caller.Request{Address: e.address, Host: host, Key: largeKey, Path: "/stream/x"}
	a.Request = ledger.Request{
		ID: fmt.Sprintf("%d-%d", s.Seed, s.asked), Team: largeTeam, Kind: ward.ForwardStream, Resumable: true, Service: engines,
		Entry: e.name, Start: e.StartCount(), Timeout: streamTimeout, Crash: ledger.PartCrash,
	}
	if r.Float64() < crashingOnceShare {
		a.Path, a.Resumable = "/once/x", false
	}
	a.Parts = []ward.PromptPart{firstParts[largeTeam], crashPart}
	if other := soundPart(r.IntN(soundParts)); r.IntN(2) == 0 {
		a.Parts = append(a.Parts, other)
	} else {
		a.Parts = []ward.PromptPart{firstParts[largeTeam], other, crashPart}
	}
	return a
}

// crashEngine ends an engine that began to answer a request with crashPart.
func (s *Soak) crashUpstream(c upstreamCrash, request string) {
	now := time.Now()
	c.end = s.ledger.Disturb(c.server.ID, false, now)
	s.ledger.Crashed(c.cause, now)
	s.Log.Info("upstream-crashed", "cause", string(c.cause), "upstream", c.server.ID, "request", request)
	c.server.Crash()
	c.link.Close()
	select {
	case s.crashed <- c:
	default:
		s.Log.Info("upstream-not-restarted", "upstream", c.server.ID)
	}
}

// restartCrashed starts each crashed upstream again, under a new id, until ctx ends.
func (s *Soak) restartCrashed(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 8))
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.crashed:
			down := minDown + time.Duration(r.Float64()*float64(maxDown-minDown))
			wg.Go(func() { s.restartUpstream(ctx, c, down) })
		}
	}
}

// restartEngine starts an engine again after the given time, or later if another fault
// affects its replica. That fault may have replaced it by then.
func (s *Soak) restartUpstream(ctx context.Context, c upstreamCrash, down time.Duration) {
	defer func() { c.end(time.Now()) }()
	for acquired := s.tryAcquire(&c.replica.busy); !acquired; acquired = s.tryAcquire(&c.replica.busy) {
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, statusInterval)
	}
	defer s.release(&c.replica.busy)
	if c.replica.server != c.server {
		return
	}
	sleep(ctx, down/2)
	s.Store.Withdraw(c.server.ID)
	sleep(ctx, down/2)
	s.logError(s.startUpstream(c.replica, ""))
}
