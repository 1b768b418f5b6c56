// Package run provides the fault soak: the program's entries as separate
// processes, stand-ins for the store and the upstreams, callers, and faults from
// outside.
//
// # Usage
//
//	s := run.Soak{Program: path, Dir: dir, Seed: 7, Length: 30 * time.Second, Store: store, Dialect: d}
//	r, err := s.Run(ctx)
//	for _, f := range r.Findings { ... }
//
// The seed decides which faults strike, when and how long. What the processes
// make of it depends on the machine as well.
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

// Soak is one run. Program, Dir, Store and Dialect must be set.
type Soak struct {
	// Program is the agateward binary; Dir takes settings and logs.
	Program, Dir string
	Seed         uint64
	Length       time.Duration
	// Entries and Callers are the numbers of entries and callers.
	Entries, Callers int
	Store            ward.StandinStore
	Dialect          ward.StandinDialect
	Log              logr.Logger

	ledger   ledger.Ledger
	server   *http.Server
	entries  []*entry
	replicas []*replica

	mu      sync.Mutex
	rand    *rand.Rand
	version uint64
	made    int
	// rolling says that a roll-out is under way; rollouts counts them.
	rolling  bool
	rollouts int
	// runs counts the requests by service and version of the upstream.
	runs    map[string]int
	asked   int
	served  int
	refused int
}

// Result is what a soak saw.
type Result struct {
	Asked, Served, Refused, Faults int
	Findings                       []ledger.Finding
}

// startTime is the time that a fleet may take from its start to its first answers.
const startTime = 5 * time.Second

// Run plays the soak and ends every process that it started.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	s.rand = rand.New(rand.NewPCG(s.Seed, 1))
	s.ledger.Bounds = ledger.DefaultBounds()
	s.ledger.Bounds.Quotas = map[string]ledger.Quota{smallTeam: {Rate: smallRate, Burst: smallBurst}}
	s.ledger.Bounds.QuotaSlack, s.ledger.Bounds.RepeatRatio, s.ledger.Bounds.RepeatSlack = quotaSlack, repeatRatio, repeatSlack
	defer s.end()
	if err := s.begin(); err != nil {
		return Result{}, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	ctx, stop := context.WithTimeout(ctx, s.Length)
	defer stop()
	faults := plan.New(s.Seed, s.Length, s.Store.Faults())
	var wg conc.WaitGroup
	for range s.Callers {
		wg.Go(func() {
			(&caller.Caller{Dialect: s.Dialect, Ledger: &s.ledger, Next: s.chooser(), Done: s.count}).Run(ctx)
		})
	}
	start := time.Now()
	for _, f := range faults {
		wg.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(start.Add(f.At))):
				s.strike(ctx, f)
			}
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Result{Asked: s.asked, Served: s.served, Refused: s.refused, Faults: len(faults), Findings: s.ledger.Findings()}, nil
}

func (s *Soak) begin() error {
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
		if err := s.place(r, ""); err != nil {
			return err
		}
	}
	port, err := freePorts(4)
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

// awaitReady waits until every entry serves.
func (s *Soak) awaitReady(ctx context.Context) error {
	end := time.Now().Add(startTime)
	for i := 0; i < len(s.entries); {
		c := caller.Caller{Dialect: s.Dialect, Ledger: &s.ledger}
		ask := s.ask(s.entries[i])
		ask.Path, ask.Kind, ask.Service, ask.Timeout = "/stock/x", ward.ForwardSafe, orders, restTime
		ask.Version, ask.Leaves, ask.LeaveAfter = 0, false, 0
		if a := c.Once(ask); a.Status == http.StatusOK && a.Whole {
			i++
			end = time.Now().Add(startTime)
			continue
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("%s does not serve %s after its start; see %s", s.entries[i].name, startTime, s.entries[i].Log)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// end ends all that the soak started.
func (s *Soak) end() {
	for _, e := range s.entries {
		e.Kill()
		e.link.Close()
	}
	for _, r := range s.replicas {
		if r.up != nil {
			r.up.Crash()
		}
		if r.link != nil {
			r.link.Close()
		}
	}
	if s.server != nil {
		_ = s.server.Close() // the run is over
	}
}

// chooser returns the requests of one caller, which keeps to its entry while it
// is answered.
func (s *Soak) chooser() func(keep bool) caller.Ask {
	var last *entry
	return func(keep bool) caller.Ask {
		s.mu.Lock()
		if !keep || last == nil {
			var open []*entry
			for _, e := range s.entries {
				if e.open {
					open = append(open, e)
				}
			}
			if len(open) == 0 {
				open = s.entries
			}
			last = open[s.rand.IntN(len(open))]
		}
		s.mu.Unlock()
		return s.ask(last)
	}
}

// Parts of the requests: each kind, promise and team gets enough to be seen within
// some seconds.
const (
	// The kinds; the rest asks for routes of one version.
	streamPart = 0.45
	orderPart  = 0.3
	stockPart  = 0.15
	// smallPart is the part with the key of the small team, leavePart that of callers
	// that leave early.
	smallPart = 0.25
	leavePart = 0.04
)

func (s *Soak) ask(e *entry) caller.Ask {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	a := caller.Ask{Address: e.address, Host: host, Key: largeKey, Path: "/order/x"}
	a.Request = ledger.Request{
		ID: fmt.Sprintf("%d-%d", s.Seed, s.asked), Team: largeTeam, Kind: ward.ForwardUnsafe, Service: orders,
		Entry: e.name, Start: e.Starts(), Timeout: restTime,
	}
	switch u := s.rand.Float64(); {
	case u < streamPart:
		a.Path, a.Kind, a.Service, a.Timeout = "/stream/x", ward.ForwardStream, engines, streamTimeout
	case u < streamPart+orderPart:
	case u < streamPart+orderPart+stockPart:
		a.Path, a.Kind = "/stock/x", ward.ForwardSafe
	default:
		a.Version = max(s.version-uint64(s.rand.IntN(2)), 1)
		a.Path, a.Kind = fmt.Sprintf("/v%d/x", a.Version), ward.ForwardSafe
	}
	if s.rand.Float64() < smallPart {
		a.Team, a.Key = smallTeam, smallKey
	}
	if s.rand.Float64() < leavePart {
		a.Leaves = true
		a.LeaveAfter = time.Duration(s.rand.Float64() * float64(200*time.Millisecond))
	}
	return a
}

// ran notes that an upstream of a version began to run a request.
func (s *Soak) ran(version, id, upstream, team string) {
	s.ledger.Ran(id, upstream, team, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[version]++
}

func (s *Soak) count(a ledger.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.Status == http.StatusOK && a.Whole:
		s.served++
	case a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable:
		s.refused++
	}
}
