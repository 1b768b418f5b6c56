// Package ledger checks what callers and upstreams see against the promises of the
// forwarding surface.
//
// # Usage
//
//	l := &ledger.Ledger{Bounds: ledger.DefaultBounds()}
//	end := l.Harm("entry-1", false, now)
//	l.Sent(request)
//	l.Ran(id, upstream, team, now)
//	l.Answered(id, answer, now)
//	for _, f := range l.Findings() { ... }
package ledger

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"agateward/ward"
)

// Store is the name of the store in Harm.
const Store = "store"

// Request is what a caller sent.
type Request struct {
	ID, Team string
	Kind     ward.ForwardKind
	Service  string
	// Entry took the request, in its Start-th process.
	Entry string
	Start int
	Sent  time.Time
	// Timeout is that of the route.
	Timeout time.Duration
	// Version is the configuration that alone has the route, 0 for all.
	Version uint64
	// Leaves says that the caller may leave before the answer.
	Leaves bool
}

// Answer is what the caller got.
type Answer struct {
	// Status is 0 when there was none.
	Status int
	// Whole says that the answer came to its end.
	Whole bool
	// NotRun says that the status promises that the request has not run.
	NotRun bool
	// Fault says what is wrong with its content.
	Fault string
}

// Finding is one broken promise.
type Finding struct {
	Promise, ID, What string
	At                time.Time
}

type record struct {
	Request
	runs    []time.Time
	answer  Answer
	refused bool
}

type interval struct {
	what     string
	from, to time.Time
	planned  bool
}

// Ledger is safe for use by several goroutines.
type Ledger struct {
	Bounds Bounds

	mu       sync.Mutex
	requests map[string]*record
	order    []*record
	harms    []interval
	acked    map[uint64]time.Time
	drained  map[string]time.Time
	// newest is the newest version that a process was seen to use, and since when.
	newest   map[string]seen
	findings []Finding
}

type seen struct {
	version uint64
	at      time.Time
}

func (l *Ledger) init() {
	if l.requests == nil {
		l.requests, l.acked, l.drained = make(map[string]*record), make(map[uint64]time.Time), make(map[string]time.Time)
		l.newest = make(map[string]seen)
	}
}

// Harm notes that something is disturbed from now on, and returns what ends that.
func (l *Ledger) Harm(what string, planned bool, from time.Time) (end func(time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.harms = append(l.harms, interval{what: what, from: from, planned: planned})
	i := len(l.harms) - 1
	return func(to time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.harms[i].to = to
	}
}

// Acknowledged notes that the store took a version.
func (l *Ledger) Acknowledged(version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.acked[version] = at
}

// Leaving notes that the store took the word of an upstream that it leaves.
func (l *Ledger) Leaving(upstream string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.drained[upstream] = at
}

// Sent notes a request before its first byte is written.
func (l *Ledger) Sent(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	rec := &record{Request: r}
	l.requests[r.ID] = rec
	l.order = append(l.order, rec)
}

// Ran notes that an upstream began to run a request.
func (l *Ledger) Ran(id, upstream, team string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	r := l.requests[id]
	if r == nil {
		l.find("asked-for", id, now, "%s runs a request that nobody sent", upstream)
		return
	}
	r.runs = append(r.runs, now)
	if r.Team != team {
		l.find("team", id, now, "%s is told team %q, the key is of %q", upstream, team, r.Team)
	}
	if r.Kind == ward.ForwardUnsafe && len(r.runs) > 1 {
		l.find("at-most-once", id, now, "run %d, at %s", len(r.runs), upstream)
	}
	if r.refused {
		l.find("truthful-refusal", id, now, "%s runs it after status %d", upstream, r.answer.Status)
	}
	if at, ok := l.drained[upstream]; ok && now.Sub(at) > l.Bounds.Drain && l.inTouch(r.Entry, at, now) {
		l.find("draining", id, now, "%s gets it %s after it was leaving", upstream, now.Sub(at))
	}
}

// Answered notes the end of a request at its caller.
func (l *Ledger) Answered(id string, a Answer, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	r.answer = a
	if a.Fault != "" {
		l.find("whole-answer", id, now, "%s", a.Fault)
	}
	if a.NotRun {
		r.refused = r.Kind == ward.ForwardUnsafe
		if r.refused && len(r.runs) > 0 {
			l.find("truthful-refusal", id, now, "status %d, and it has run", a.Status)
		}
	}
	if !a.Whole && !r.Leaves && len(r.runs) > 0 && l.calm(r.Sent, now) && now.Sub(r.Sent) < r.Timeout {
		l.find("planned-stop", id, now, "status %d and no whole answer from %s, with nothing but planned stops", a.Status, r.Entry)
	}
	if held := now.Sub(r.Sent) - r.Timeout; held > l.Bounds.Held && l.inTouch(r.Entry, r.Sent, now) {
		l.find("time-out", id, now, "answered %s after the route's time-out", held)
	}
	if r.Version > 0 {
		l.version(r, a, now)
	}
}

// version checks a request on a route that one version alone has.
func (l *Ledger) version(r *record, a Answer, now time.Time) {
	if l.harmed(r.Sent, now, func(h interval) bool { return h.what == r.Entry }) {
		return // another process may have answered
	}
	process := fmt.Sprint(r.Entry, "/", r.Start)
	newest := l.newest[process]
	if a.Status == 200 {
		if r.Version < newest.version && r.Sent.Sub(newest.at) > l.Bounds.Rollback {
			l.find("configuration-never-back", r.ID, now, "%s uses version %d, %s after %d", process, r.Version, r.Sent.Sub(newest.at), newest.version)
		}
		if r.Version > newest.version {
			l.newest[process] = seen{r.Version, now}
		}
		if next, ok := l.acked[r.Version+1]; ok && r.Sent.Sub(next) > l.Bounds.Config && l.inTouch(r.Entry, next, r.Sent) {
			l.find("configuration-in-force", r.ID, now, "%s uses version %d, %s after the next one", process, r.Version, r.Sent.Sub(next))
		}
	}
	if at, ok := l.acked[r.Version]; ok && a.Status == 404 {
		if _, replaced := l.acked[r.Version+1]; !replaced && r.Sent.Sub(at) > l.Bounds.Config && l.inTouch(r.Entry, at, r.Sent) {
			l.find("configuration-in-force", r.ID, now, "%s lacks version %d, %s after its acknowledgement", process, r.Version, r.Sent.Sub(at))
		}
	}
}

// inTouch tells whether neither the entry nor the store was harmed between from,
// less the contact time, and to.
func (l *Ledger) inTouch(entry string, from, to time.Time) bool {
	return !l.harmed(from.Add(-l.Bounds.Contact), to, func(h interval) bool { return h.what == entry || h.what == Store })
}

// Calm tells whether nothing at all was harmed, other than by plan.
func (l *Ledger) Calm(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calm(from, to)
}

// calm tells whether nothing at all was harmed, other than by plan.
func (l *Ledger) calm(from, to time.Time) bool {
	return !l.harmed(from.Add(-l.Bounds.Contact), to, func(h interval) bool { return !h.planned })
}

func (l *Ledger) harmed(from, to time.Time, counts func(interval) bool) bool {
	for _, h := range l.harms {
		if counts(h) && h.from.Before(to) && (h.to.IsZero() || h.to.After(from)) {
			return true
		}
	}
	return false
}

// Report adds what was seen outside of requests.
func (l *Ledger) Report(promise, what string, at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.find(promise, what, at, format, args...)
}

func (l *Ledger) find(promise, id string, at time.Time, format string, args ...any) {
	l.findings = append(l.findings, Finding{Promise: promise, ID: id, What: fmt.Sprintf(format, args...), At: at})
}

// Findings returns the broken promises so far, those of windows too.
func (l *Ledger) Findings() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := append([]Finding(nil), l.findings...)
	out = append(out, l.quotas()...)
	out = append(out, l.repeats()...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}
