// Package report reads the load reports and cache events of upstreams and hands
// them to the request path.
//
// An entry reads the upstreams that it feeds often, with their cache events. The
// time between two reads of another one grows with the number of live entries,
// and its cache events are left alone, so that neither an upstream nor an entry
// has more to do in a larger fleet. What a report says about leaving is handed
// to the other entries.
//
// # Usage
//
//	r := report.New(report.Deps{Backend: backend, Config: holder.Current, ...})
//	err := r.Run(ctx)
package report

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
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
	// othersFactor is how much longer the time between two reads is for an
	// upstream that other entries feed.
	othersFactor = 4
	// ownInterval is the time between two looks at which upstreams are fed.
	ownInterval = time.Second
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
	// Own returns the names of the upstreams that this entry feeds.
	Own func() []string
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
	// own is what Own returned at ownAt.
	own   map[string]bool
	ownAt time.Time
	// leaving holds the upstreams whose last report says that they leave.
	leaving map[string]bool
}

// New returns a reader.
func New(d Deps) *Reader {
	return &Reader{
		Deps: d, rand: rand.New(rand.NewPCG(d.Seed, 1)),
		next: make(map[string]time.Time), seen: make(map[string]uint64), leaving: make(map[string]bool),
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
	r.lookAtOwn(now)
	others := othersFactor * r.Interval * time.Duration(max(r.Entries(), entriesPerInterval)) / entriesPerInterval
	var due []ward.Upstream
	for _, u := range cfg.Upstreams {
		interval := others
		if r.own[u.Name] {
			interval = r.Interval
			if at := r.next[u.Name]; at.After(now.Add(interval)) {
				// It has just come to this entry.
				r.next[u.Name] = now
			}
		}
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

// lookAtOwn takes in which upstreams this entry feeds. The lock is held.
func (r *Reader) lookAtOwn(now time.Time) {
	if now.Sub(r.ownAt) < ownInterval {
		return
	}
	r.ownAt = now
	r.own = make(map[string]bool)
	for _, name := range r.Own() {
		r.own[name] = true
	}
}

// Leaving returns the upstreams that have said themselves that they leave.
func (r *Reader) Leaving() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.leaving))
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
	for name := range r.leaving {
		if _, ok := keep[name]; !ok {
			delete(r.leaving, name)
		}
	}
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
	r.mu.Lock()
	delete(r.leaving, u.Name)
	if report.Leaving {
		r.leaving[u.Name] = true
	}
	after := r.seen[u.Name]
	own := r.own[u.Name]
	r.mu.Unlock()
	if u.Kind != ward.KindEngine || !own {
		return
	}
	events, err := b.CacheEvents(ctx, u, after)
	if err != nil || len(events) == 0 {
		return
	}
	r.mu.Lock()
	r.seen[u.Name] = events[len(events)-1].Sequence
	r.mu.Unlock()
	r.Cache(u.Name, events)
}
