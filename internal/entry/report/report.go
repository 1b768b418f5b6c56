// Package report reads the load reports and cache events of upstreams and hands
// them to the request path.
//
// The time between two reads of one upstream grows with the number of live
// entries, so that an upstream answers about as many reads whatever the size of
// the fleet; a decision discounts a report by its age.
//
// # Usage
//
//	r := report.New(report.Deps{Backend: backend, Config: holder.Current, ...})
//	err := r.Run(ctx)
package report

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"agateward/ward"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc/pool"
)

const (
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
	// maxReads bounds the reads at one time.
	maxReads = 16
	// entriesPerInterval is the number of live entries up to which the interval
	// is the one of the settings.
	entriesPerInterval = 8
	// checkInterval is the time between two looks for upstreams that are due.
	checkInterval = 50 * time.Millisecond
)

// Deps are what a Reader stands on.
type Deps struct {
	// Backend returns the adapter for a kind of upstream.
	Backend func(kind ward.UpstreamKind) ward.Backend
	Config  func() *ward.Config
	// Entries returns the number of live entries, this one included.
	Entries func() int
	// Report and Cache take what was read.
	Report   func(r ward.LoadReport)
	Cache    func(upstream string, events []ward.CacheEvent)
	Interval time.Duration
	Clock    ward.Clock
	Log      logr.Logger
	// Seed spreads the reads of several entries over time.
	Seed uint64
}

// Reader reads reports.
type Reader struct {
	Deps
	rand *rand.Rand

	mu   sync.Mutex
	next map[string]time.Time
	// seen is the sequence number of the last cache event by upstream.
	seen map[string]uint64
}

// New returns a reader.
func New(d Deps) *Reader {
	return &Reader{
		Deps: d, rand: rand.New(rand.NewPCG(d.Seed, 1)),
		next: make(map[string]time.Time), seen: make(map[string]uint64),
	}
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	reads := pool.New().WithMaxGoroutines(maxReads)
	defer reads.Wait()
	for r.Clock.Sleep(ctx, checkInterval) == nil {
		for _, u := range r.due() {
			reads.Go(func() { r.read(ctx, u) })
		}
	}
	return nil
}

// due returns the upstreams whose turn it is, and sets their next one.
func (r *Reader) due() []ward.Upstream {
	cfg := r.Config()
	if cfg == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	interval := r.Interval * time.Duration(max(r.Entries(), entriesPerInterval)) / entriesPerInterval
	var due []ward.Upstream
	for _, u := range cfg.Upstreams {
		at, known := r.next[u.Name]
		if known && now.Before(at) {
			continue
		}
		// The first read comes at a random time, so that entries that start
		// together don't ask together.
		r.next[u.Name] = now.Add(interval)
		if !known {
			r.next[u.Name] = now.Add(time.Duration(r.rand.Int64N(int64(interval))))
			continue
		}
		due = append(due, u)
	}
	r.forget(cfg)
	return due
}

// forget drops upstreams that the configuration no longer has.
func (r *Reader) forget(cfg *ward.Config) {
	if len(r.next) <= len(cfg.Upstreams) {
		return
	}
	keep := make(map[string]time.Time, len(cfg.Upstreams))
	for _, u := range cfg.Upstreams {
		keep[u.Name] = r.next[u.Name]
	}
	r.next = keep
}

// read reads one upstream's report and new cache events. A failure is no
// evidence: only requests tell whether an upstream works.
func (r *Reader) read(ctx context.Context, u ward.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b := r.Backend(u.Kind)
	report, err := b.Report(ctx, u)
	if err != nil {
		r.Log.V(1).Info("report-failed", "upstream", u.Name, "text", err.Error())
		return
	}
	report.Upstream = u.Name
	r.Report(report)
	if u.Kind != ward.KindEngine {
		return
	}
	r.mu.Lock()
	after := r.seen[u.Name]
	r.mu.Unlock()
	events, err := b.CacheEvents(ctx, u, after)
	if err != nil || len(events) == 0 {
		return
	}
	r.mu.Lock()
	r.seen[u.Name] = events[len(events)-1].Sequence
	r.mu.Unlock()
	r.Cache(u.Name, events)
}
