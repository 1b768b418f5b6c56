// Package evidence counts the outcomes of both versions of a move at one entry.
//
// Latencies are counted in buckets of the ratio to the expected time for the
// request's size, so that requests of different sizes can be compared. The
// expected time is a linear function of the prompt and output tokens. It is
// fitted to the answers of the old version and applied to both.
//
// # Usage
//
//	r := evidence.Recorder{Entry: "entry-1", Incarnation: 7}
//	r.Observe(evidence.Key{Move: "menus-v2@7/1", Route: "menus", Serves: "menus", Version: "v1"}, outcome, true)
//	counts := r.Counts()
package evidence

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"agateward/internal/move/analysis"
	"agateward/ward"
)

const (
	// unreachableInterval is the time within which only one failed connection to an
	// upstream counts, since the requests were retried at other upstreams.
	unreachableInterval = 10 * time.Second
	// maxKeys bounds the number of keys. Each version of a route in a step is one.
	maxKeys = 512
	// overrunRatio is the ratio to the expected time from which on a request that ended
	// without its answer counts as failed. Below it the caller may have left for a reason
	// of its own, or the request may have been sent shortly before its deadline.
	overrunRatio = 2
	// maxFits bounds the number of expected times by route. Further routes share one.
	maxFits = 512
)

// Key identifies a count.
type Key struct {
	// Move is the step of a run of a move, as StepName returns it.
	Move    string
	Route   string
	Serves  string
	Version string
}

// RunName returns the name of the run of a move that a ticket put in force.
func RunName(move string, ticket uint64) string { return fmt.Sprintf("%s@%d", move, ticket) }

// StepName returns the name of a step of a run. Outcomes are counted by the step
// during which their requests were sent, since the versions' shares differ.
func StepName(run string, step int) string { return run + "/" + strconv.Itoa(step) }

// RunOf returns the run that a step belongs to.
func RunOf(stepName string) string {
	run, _, _ := strings.Cut(stepName, "/")
	return run
}

// Recorder counts outcomes. The zero value is empty; Entry and Incarnation are
// copied into the counts.
type Recorder struct {
	Entry       string
	Incarnation ward.Incarnation

	counts      map[Key]*counter
	changed     []*counter
	fits        map[string]*fit
	unreachable map[string]time.Time
}

// counter is one count. changed reports whether it is in Recorder.changed.
type counter struct {
	ward.Counts
	changed bool
}

// Sent counts a request that was sent.
func (r *Recorder) Sent(k Key) {
	if c := r.counterFor(k); c != nil {
		c.Sent++
	}
}

// Observe counts an outcome; old reports whether it is of the old version. Cancelled
// requests do not count, unless their answers were overdue.
func (r *Recorder) Observe(k Key, o ward.Outcome, old bool) {
	c := r.counterFor(k)
	if c == nil {
		return
	}
	if o.Cancelled && !r.overdue(o, k.Route) || !o.Connected && !r.firstUnreachable(o) {
		c.Void++
		return
	}
	if !o.OK || o.Cancelled {
		c.Failed++
		return
	}
	f := r.fit(o, k.Route)
	c.Succeeded++
	if f.usable(o) {
		c.Latency[analysis.Bucket(f.ratio(o))]++
	}
	if old {
		f.learn(o)
	}
}

// Learn updates the expected time with an answer of the version in force, while no
// move counts it.
func (r *Recorder) Learn(route string, o ward.Outcome) {
	if o.OK && !o.Cancelled {
		r.fit(o, route).learn(o)
	}
}

// Counts returns all counts, in the order of Compare.
func (r *Recorder) Counts() []ward.Counts {
	list := make([]ward.Counts, 0, len(r.counts))
	for _, c := range r.counts {
		list = append(list, c.Counts)
	}
	slices.SortFunc(list, Compare)
	return list
}

// Changed returns the counts that changed since the last call.
func (r *Recorder) Changed() []ward.Counts {
	list := make([]ward.Counts, len(r.changed))
	for i, c := range r.changed {
		c.changed = false
		list[i] = c.Counts
	}
	r.changed = r.changed[:0]
	return list
}

// Retain removes the counts of runs for which keep returns false.
func (r *Recorder) Retain(keep func(run string) bool) {
	for k := range r.counts {
		if !keep(RunOf(k.Move)) {
			delete(r.counts, k)
		}
	}
}

// Compare orders counts by what they count, then by who counted.
func Compare(a, b ward.Counts) int {
	return cmp.Or(
		cmp.Compare(a.Move, b.Move),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Entry, b.Entry),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// overdue reports whether a request ended without its answer after far more than the
// expected time.
func (r *Recorder) overdue(o ward.Outcome, route string) bool {
	f := r.fit(o, route)
	return o.Overrun && o.Connected && f.usable(o) && f.ratio(o) >= overrunRatio
}

// firstUnreachable reports whether a failed connection is the first one to its
// upstream within unreachableInterval.
func (r *Recorder) firstUnreachable(o ward.Outcome) bool {
	if r.unreachable == nil {
		r.unreachable = map[string]time.Time{}
	}
	if o.At.Sub(r.unreachable[o.Upstream]) < unreachableInterval {
		return false
	}
	r.unreachable[o.Upstream] = o.At
	return true
}

// counterFor returns the count of a key, which is about to change.
func (r *Recorder) counterFor(k Key) *counter {
	c := r.counts[k]
	if c == nil {
		if c = r.newCounter(k); c == nil {
			return nil
		}
	}
	if !c.changed {
		c.changed = true
		r.changed = append(r.changed, c)
	}
	return c
}

// newCounter adds a count, and returns nil if there are too many.
func (r *Recorder) newCounter(k Key) *counter {
	if len(r.counts) >= maxKeys {
		return nil
	}
	if r.counts == nil {
		r.counts = map[Key]*counter{}
	}
	c := &counter{Counts: ward.Counts{
		Serves: k.Serves, Version: k.Version, Route: k.Route, Move: k.Move,
		Entry: r.Entry, Incarnation: r.Incarnation,
	}}
	r.counts[k] = c
	return c
}

// Expected returns the expected times that are usable and whose sizing include accepts, at most limit
// of them, sorted.
func (r *Recorder) Expected(include func(sizing string) bool, limit int) []ward.ExpectedTime {
	var list []ward.ExpectedTime
	for _, name := range slices.Sorted(maps.Keys(r.fits)) {
		if f := r.fits[name]; include(name) && f.weight >= minPlainWeight && len(list) < limit {
			list = append(list, ward.ExpectedTime{Sizing: name, Weight: f.weight, A: f.a, B: f.b})
		}
	}
	return list
}

// AdoptExpected takes an expected time of another process where this one has learned none.
func (r *Recorder) AdoptExpected(e ward.ExpectedTime) {
	f := r.fit(ward.Outcome{Sizing: e.Sizing}, "")
	if f.weight >= minPlainWeight || !(e.Weight > f.weight) {
		return
	}
	*f = fit{weight: min(e.Weight, 1/(1-decayFactor)), a: e.A, b: e.B}
	f.solve()
}

// fit returns the expected time for an outcome on a route.
func (r *Recorder) fit(o ward.Outcome, route string) *fit {
	if r.fits == nil {
		r.fits = map[string]*fit{}
	}
	name := cmp.Or(o.Sizing, route)
	if r.fits[name] == nil && len(r.fits) >= maxFits {
		name = ""
	}
	if r.fits[name] == nil {
		r.fits[name] = &fit{}
	}
	return r.fits[name]
}
