// Package report reads the load reports and cache events of upstreams and passes
// them to the request path.
//
// An entry often reads the reports and cache events of the upstreams to which it
// sends requests. The time between two reads of any other upstream grows with the
// number of live entries, and its cache events aren't read, so that the load of an
// upstream and of an entry doesn't grow with the fleet. Upstreams that report that
// they are draining are announced to the other entries.
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
	// readTimeout bounds one read of a report and its cache events.
	readTimeout = 2 * time.Second
	// maxReads bounds the number of concurrent reads.
	maxReads = 16
	// baseEntries is the number of live entries above which the interval of unused
	// upstreams grows.
	baseEntries = 8
	// unusedFactor is the factor between the intervals of upstreams that this entry
	// doesn't use and of those that it uses.
	unusedFactor = 4
	// inUseInterval is the time between two updates of the upstreams in use.
	inUseInterval = time.Second
	// checkInterval is the time between two checks for upstreams that are due.
	checkInterval = 50 * time.Millisecond
)

// Deps are the dependencies of a Reader.
type Deps struct {
	// Backend returns the adapter for a kind of upstream.
	Backend func(kind ward.UpstreamKind) ward.Backend
	Config  func() *ward.Config
	// Entries returns the number of live entries, this one included.
	Entries func() int
	// InUse returns the names of the upstreams to which this entry sends requests.
	InUse func() []string
	// Report is called with each report, Cache with new cache events.
	Report   func(r ward.LoadReport)
	Cache    func(upstream string, events []ward.CacheEvent)
	Interval time.Duration
	Clock    ward.Clock
	Log      logr.Logger
	// Seed seeds the time of the first reads, which differs between entries.
	Seed uint64
}

// Reader reads the reports and cache events of upstreams. Create one with New.
type Reader struct {
	Deps
	rand *rand.Rand

	mu   sync.Mutex
	next map[string]time.Time
	// lastEvent is the sequence number of the last cache event by upstream.
	lastEvent map[string]uint64
	// inUse holds the names that InUse returned at inUseAt.
	inUse   map[string]bool
	inUseAt time.Time
	// draining holds the upstreams whose last report says that they are draining.
	draining map[string]bool
}

// New returns a reader.
func New(d Deps) *Reader {
	return &Reader{
		Deps: d, rand: rand.New(rand.NewPCG(d.Seed, 1)),
		next: make(map[string]time.Time), lastEvent: make(map[string]uint64), draining: make(map[string]bool),
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

// due returns the upstreams that are due, and sets the time of their next read.
func (r *Reader) due() []ward.Upstream {
	cfg := r.Config()
	if cfg == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.refreshInUse(now)
	unusedInterval := unusedFactor * r.Interval * time.Duration(max(r.Entries(), baseEntries)) / baseEntries
	var due []ward.Upstream
	for _, u := range cfg.Upstreams {
		interval := unusedInterval
		if r.inUse[u.Name] {
			interval = r.Interval
			if at := r.next[u.Name]; at.After(now.Add(interval)) {
				// The upstream has just come into use; read it now.
				r.next[u.Name] = now
			}
		}
		at, known := r.next[u.Name]
		if known && now.Before(at) {
			continue
		}
		// The first read is at a random time, so that entries that start together
		// don't all read at the same time.
		r.next[u.Name] = now.Add(interval)
		if !known {
			r.next[u.Name] = now.Add(time.Duration(r.rand.Int64N(int64(interval))))
			continue
		}
		due = append(due, u)
	}
	r.removeUnknown(cfg)
	return due
}

// refreshInUse updates the upstreams in use. It must be called with mu held.
func (r *Reader) refreshInUse(now time.Time) {
	if now.Sub(r.inUseAt) < inUseInterval {
		return
	}
	r.inUseAt = now
	r.inUse = make(map[string]bool)
	for _, name := range r.InUse() {
		r.inUse[name] = true
	}
}

// Draining returns the upstreams that have reported that they are draining, by name.
func (r *Reader) Draining() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.draining))
}

// removeUnknown removes upstreams that are no longer in the configuration. It must be
// called with mu held.
func (r *Reader) removeUnknown(cfg *ward.Config) {
	if len(r.next) <= len(cfg.Upstreams) {
		return
	}
	keep := make(map[string]time.Time, len(cfg.Upstreams))
	for _, u := range cfg.Upstreams {
		keep[u.Name] = r.next[u.Name]
	}
	r.next = keep
	for name := range r.draining {
		if _, ok := keep[name]; !ok {
			delete(r.draining, name)
		}
	}
}

// read reads one upstream's report and new cache events. A failed read doesn't count
// against the upstream: only requests show whether it works.
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
	delete(r.draining, u.Name)
	if report.Leaving {
		r.draining[u.Name] = true
	}
	after := r.lastEvent[u.Name]
	inUse := r.inUse[u.Name]
	r.mu.Unlock()
	if u.Kind != ward.KindEngine || !inUse {
		return
	}
	events, err := b.CacheEvents(ctx, u, after)
	if err != nil || len(events) == 0 {
		return
	}
	r.mu.Lock()
	r.lastEvent[u.Name] = events[len(events)-1].Sequence
	r.mu.Unlock()
	r.Cache(u.Name, events)
}
