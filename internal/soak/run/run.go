// Package run runs the fault soak: entries as separate processes, stand-ins for the
// store and the upstreams, callers, and faults that are injected from outside.
//
// # Usage
//
//	s := run.Soak{Program: path, Dir: dir, Seed: 7, Length: 30 * time.Second, Store: store, Dialect: d}
//	r, err := s.Run(ctx)
//	for _, f := range r.Findings { ... }
//
// The seed determines the faults, their times and durations. The results also depend
// on the timing of the processes.
package run

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"agateward/internal/soak/caller"
	"agateward/internal/soak/ledger"
	"agateward/internal/soak/plan"
	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
)

// Soak is one run of the soak. Program, Dir, Store and Dialect must be set.
type Soak struct {
	// Program is the path of the agateward binary, Dir the directory for settings and
	// logs.
	Program, Dir string
	Seed         uint64
	Length       time.Duration
	// Entries and Callers are the numbers of entries and callers.
	Entries, Callers int
	// Planned leaves out failures: there is only planned work, and silences of upstreams.
	Planned bool
	Store   ward.StandinStore
	Dialect ward.StandinDialect
	Log     logr.Logger

	ledger   ledger.Ledger
	server   *http.Server
	entries  []*entry
	replicas []*replica
	// crashed receives the upstreams that crashed under a request.
	crashed chan upstreamCrash

	mu            sync.Mutex
	rand          *rand.Rand
	version       uint64
	upstreamCount int
	// rolloutActive is set while a roll-out is in progress, rolloutCount counts them.
	rolloutActive bool
	rolloutCount  int
	// runs counts the requests by service and version of the upstream.
	runs    map[string]int
	asked   int
	served  int
	refused int
}

// Result is the result of a soak.
type Result struct {
	Asked, Served, Refused, Faults int
	Findings                       []ledger.Finding
}

// startTime bounds the wait for the first answer of each entry.
const startTime = 5 * time.Second

// Run runs the soak and ends every process that it started.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	s.rand, s.crashed = rand.New(rand.NewPCG(s.Seed, 1)), make(chan upstreamCrash, maxCrashed)
	s.ledger.Bounds = ledger.DefaultBounds()
	s.ledger.Bounds.Grace = grace
	s.ledger.Bounds.Quotas = map[string]ledger.Quota{smallTeam: {Rate: smallRate, Burst: smallBurst}}
	s.ledger.Bounds.QuotaSlack, s.ledger.Bounds.RetryRatio, s.ledger.Bounds.RetrySlack = quotaSlack, retryRatio, retrySlack
	defer s.stop()
	if err := s.start(); err != nil {
		return Result{}, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	ctx, stop := context.WithTimeout(ctx, s.Length)
	defer stop()
	faults := plan.New(s.Seed, s.Length, s.Store.Faults())
	if s.Planned {
		faults = plan.Planned(s.Seed, s.Length)
	}
	var wg conc.WaitGroup
	for range s.Callers {
		wg.Go(func() {
			(&caller.Caller{Dialect: s.Dialect, Ledger: &s.ledger, Next: s.requestSource(), OnAnswer: s.countAnswer}).Run(ctx)
		})
	}
	wg.Go(func() { s.restartCrashed(ctx) })
	start := time.Now()
	for _, f := range faults {
		wg.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(start.Add(f.At))):
				s.injectFault(ctx, f)
			}
		})
	}
	wg.Wait()
	s.checkMemory()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Result{Asked: s.asked, Served: s.served, Refused: s.refused, Faults: len(faults), Findings: s.ledger.Findings()}, nil
}

// checkMemory reports the entries that have held more than their limit since their last start.
func (s *Soak) checkMemory() {
	for _, e := range s.entries {
		if !e.Alive() {
			continue
		}
		if peak, err := e.PeakMemory(); err != nil || peak >= entryMemory {
			s.ledger.Report("memory", e.name, time.Now(), "held %d MB at its peak, the limit is %d MB (%v)", peak, entryMemory, err)
		}
	}
}

func (s *Soak) start() error {
	store, err := s.serveStore()
	if err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range engineCount + ordersCount {
		r := &replica{service: engines, version: firstVersion}
		if i >= engineCount {
			r.service = orders
		}
		s.replicas = append(s.replicas, r)
		if err := s.startUpstream(r, ""); err != nil {
			return err
		}
	}
	port, err := freePorts(4, s.Entries)
	if err != nil {
		return err
	}
	for i := range s.Entries {
		if err := s.addEntry(i, port, store); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until every entry answers a request.
func (s *Soak) awaitReady(ctx context.Context) error {
	end := time.Now().Add(startTime)
	for i := 0; i < len(s.entries); {
		c := caller.Caller{Dialect: s.Dialect, Ledger: &s.ledger}
		req := s.newRequest(s.entries[i])
		req.Path, req.Kind, req.Resumable, req.Service, req.Timeout = "/stock/x", ward.ForwardSafe, false, orders, restTimeout
		req.Version, req.MayLeave, req.LeaveAfter = 0, false, 0
		if a := c.SendOnce(req); a.Status == http.StatusOK && a.Complete {
			i++
			end = time.Now().Add(startTime)
			continue
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("%s does not answer %s after its start; see %s", s.entries[i].name, startTime, s.entries[i].Log)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// stop stops everything that the soak started.
func (s *Soak) stop() {
	for _, e := range s.entries {
		e.Kill()
		e.link.Close()
	}
	for _, r := range s.replicas {
		if r.server != nil {
			r.server.Crash()
		}
		if r.link != nil {
			r.link.Close()
		}
	}
	if s.server != nil {
		_ = s.server.Close() // an error has no effect after the run
	}
}

// requestSource returns the Next function of one caller, which stays at its entry
// while it gets complete answers.
func (s *Soak) requestSource() func(keep bool) caller.Request {
	var last *entry
	return func(keep bool) caller.Request {
		s.mu.Lock()
		if !keep || last == nil {
			last = s.drawEntry(s.rand)
		}
		s.mu.Unlock()
		return s.newRequest(last)
	}
}

// drawEntry returns an entry to which a balancer would send a new connection: any, if it
// would use fewer than half of them. The caller must hold mu.
func (s *Soak) drawEntry(r *rand.Rand) *entry {
	var open []*entry
	for _, e := range s.entries {
		if e.inRotation {
			open = append(open, e)
		}
	}
	if 2*len(open) < len(s.entries) {
		open = s.entries
	}
	return open[r.IntN(len(open))]
}

// Shares of the requests. Each kind, promise and team gets enough requests to show a
// fault within some seconds.
const (
	// Shares of the kinds. The other requests use routes of one configuration version.
	streamShare = 0.3
	onceShare   = 0.15
	orderShare  = 0.3
	stockShare  = 0.15
	// smallTeamShare is the share with the key of the small team, leaveShare the share
	// whose caller leaves early.
	smallTeamShare = 0.25
	leaveShare     = 0.04
)

func (s *Soak) newRequest(e *entry) caller.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	a := caller.Request{Address: e.address, Host: host, Key: largeKey, Path: "/order/x"}
	a.Request = ledger.Request{
		ID: fmt.Sprintf("%d-%d", s.Seed, s.asked), Team: largeTeam, Kind: ward.ForwardUnsafe, Service: orders,
		Entry: e.name, Start: e.StartCount(), Timeout: restTimeout,
	}
	switch u := s.rand.Float64(); {
	case u < streamShare:
		a.Path, a.Kind, a.Resumable, a.Service, a.Timeout = "/stream/x", ward.ForwardStream, true, engines, streamTimeout
	case u < streamShare+onceShare:
		a.Path, a.Kind, a.Service, a.Timeout = "/once/x", ward.ForwardStream, engines, streamTimeout
	case u < streamShare+onceShare+orderShare:
	case u < streamShare+onceShare+orderShare+stockShare:
		a.Path, a.Kind = "/stock/x", ward.ForwardSafe
	default:
		a.Version = max(s.version-uint64(s.rand.IntN(2)), 1)
		a.Path, a.Kind = fmt.Sprintf("/v%d/x", a.Version), ward.ForwardSafe
	}
	if s.rand.Float64() < smallTeamShare {
		a.Team, a.Key = smallTeam, smallKey
	}
	if a.Service == engines {
		a.Parts = []ward.PromptPart{firstParts[a.Team], soundPart(s.asked)}
	}
	if s.rand.Float64() < leaveShare {
		a.MayLeave = true
		a.LeaveAfter = time.Duration(s.rand.Float64() * float64(200*time.Millisecond))
	}
	return a
}

// recordRun records that an upstream of a version began to run a request.
func (s *Soak) recordRun(version, id, upstream, team string) {
	s.ledger.Ran(id, upstream, team, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[version]++
}

func (s *Soak) countAnswer(a ledger.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.Status == http.StatusOK && a.Complete:
		s.served++
	case a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable:
		s.refused++
	}
}
