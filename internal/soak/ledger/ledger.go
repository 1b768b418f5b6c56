// Package ledger records what callers and upstreams observe, and checks it against
// the promises of the forwarding surface.
//
// # Usage
//
//	l := &ledger.Ledger{Bounds: ledger.DefaultBounds()}
//	end := l.Disturb("entry-1", false, now)
//	l.Sent(request)
//	l.Ran(id, upstream, team, now)
//	l.Answered(id, answer, now)
//	end(now)
//	for _, f := range l.Findings() { ... }
package ledger

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

// Targets of Disturb that are neither an entry nor an upstream: the store, and the answers
// of all engines.
const (
	Store   = "store"
	Engines = "engines"
)

// Request is a request that a caller sent.
type Request struct {
	ID, Team string
	Kind     ward.ForwardKind
	// Resumable is set when another upstream may continue the stream.
	Resumable bool
	Service   string
	// Entry is the entry that the request was sent to, and Start the number of its
	// process, counted from 1.
	Entry string
	Start int
	Sent  time.Time
	// BodyTime is the time over which its body is sent.
	BodyTime time.Duration
	// Timeout is the time-out of the route.
	Timeout time.Duration
	// Version is the only configuration version that has the route, or 0 when all
	// versions have it.
	Version uint64
	// Crash is why upstreams crash under it, NoCrash if they don't.
	Crash Crash
	// MayLeave is set when the caller may close its connection before the answer.
	MayLeave bool
}

// once reports whether the request may run only once.
func (r *Request) once() bool {
	return r.Kind == ward.ForwardUnsafe || r.Kind == ward.ForwardStream && !r.Resumable
}

// refusalPromise is the promise that a status of code.PromisesNotRun gives.
func (r *Request) refusalPromise() string {
	if r.once() {
		return "truthful-refusal"
	}
	return "truthful-refusal-repeatable"
}

// Answer is the answer that the caller received.
type Answer struct {
	// Status is the HTTP status, or 0 when there was no answer.
	Status int
	// Complete is set when the answer was received to its end.
	Complete bool
	// Fault describes what is wrong with the content, empty for nothing.
	Fault string
}

// Finding is a broken promise. ID names the request, or the team, service, entry or
// version concerned.
type Finding struct {
	Promise, ID, What string
	At                time.Time
}

type record struct {
	Request
	runs   []time.Time
	answer Answer
	// end is when the caller had the answer, zero before.
	end time.Time
	// upstreams are those that ran the request. silent is the first of them that fell
	// silent before the end of its answer, "" for none.
	upstreams []string
	silent    string
}

type disturbance struct {
	target   string
	from, to time.Time
	planned  bool
}

// Ledger records requests, runs, answers and disturbances. It is safe for concurrent
// use.
type Ledger struct {
	Bounds Bounds

	mu            sync.Mutex
	requests      map[string]*record
	order         []*record
	disturbances  []disturbance
	stalls        []disturbance
	acknowledged  map[uint64]time.Time
	drainingSince map[string]time.Time
	leavingSince  map[string]time.Time
	// newest is, by process, the newest version that it used and when that was first
	// observed.
	newest   map[string]seen
	findings []Finding
	// reaches are the arrivals at engines of requests under which they crash, crashes the
	// times of these crashes.
	reaches []reach
	crashes map[Crash][]time.Time
	// limited holds the limits that each upstream has stated, in their order.
	limited map[string][]*limitedUpstream
}

type seen struct {
	version uint64
	at      time.Time
}

func (l *Ledger) init() {
	if l.requests == nil {
		l.requests, l.acknowledged, l.drainingSince = make(map[string]*record), make(map[uint64]time.Time), make(map[string]time.Time)
		l.newest, l.leavingSince = make(map[string]seen), make(map[string]time.Time)
	}
}

// Disturb records that a target (an entry, an upstream, Store or Engines) is disturbed from a
// time on, and returns the function that ends this. A planned disturbance excuses no
// incomplete answer.
func (l *Ledger) Disturb(target string, planned bool, from time.Time) (end func(time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbances = append(l.disturbances, disturbance{target: target, from: from, planned: planned})
	i := len(l.disturbances) - 1
	return func(to time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.disturbances[i].to = to
	}
}

// Acknowledged records that the store accepted a configuration version.
func (l *Ledger) Acknowledged(version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.acknowledged[version] = at
}

// Draining records that the store accepted that an upstream is draining.
func (l *Ledger) Draining(upstream string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.drainingSince[upstream] = at
}

// Leaving records that an upstream stated for the first time that it leaves.
func (l *Ledger) Leaving(upstream string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.leavingSince[upstream] = at
}

// Sent records a request. It must be called before the request is written.
func (l *Ledger) Sent(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	rec := &record{Request: r}
	l.requests[r.ID] = rec
	l.order = append(l.order, rec)
}

// Ran records that an upstream began to run a request.
func (l *Ledger) Ran(id, upstream, team string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	r := l.requests[id]
	if r == nil {
		l.addFinding("asked-for", id, now, "%s runs a request that no caller sent", upstream)
		return
	}
	r.runs, r.upstreams = append(r.runs, now), append(r.upstreams, upstream)
	if r.Team != team {
		l.addFinding("team", id, now, "%s received team %q, but the key belongs to %q", upstream, team, r.Team)
	}
	if r.once() && len(r.runs) > 1 {
		l.addFinding("at-most-once", id, now, "run %d of a request that must run at most once, at %s", len(r.runs), upstream)
	}
	if code.PromisesNotRun(r.answer.Status) {
		l.addFinding(r.refusalPromise(), id, now, "%s runs it after status %d promised that it had not run", upstream, r.answer.Status)
	}
	if at, ok := l.drainingSince[upstream]; ok && now.Sub(at) > l.Bounds.Drain && l.connected(r.Entry, at, now) {
		l.addFinding("draining", id, now, "%s receives it %s after it was marked as draining", upstream, now.Sub(at))
	}
	// The entry that got the statement tells the others.
	if at, ok := l.leavingSince[upstream]; ok && now.Sub(at) > l.Bounds.Drain && l.connected(r.Entry, at, now) {
		l.addFinding("leaving", id, now, "%s receives it %s after it stated that it leaves", upstream, now.Sub(at))
	}
}

// Silent records that a sound upstream fell silent during its answer to a request and will
// go on with it.
func (l *Ledger) Silent(id, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil && r.silent == "" {
		r.silent = upstream
	}
}

// Answered records the end of a request at its caller.
func (l *Ledger) Answered(id string, a Answer, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	r.answer, r.end = a, now
	if a.Fault != "" {
		l.addFinding("whole-answer", id, now, "%s", a.Fault)
	}
	if code.PromisesNotRun(a.Status) && len(r.runs) > 0 {
		l.addFinding(r.refusalPromise(), id, now, "status %d promises that it has not run, but it has", a.Status)
	}
	l.checkLoss(r, a, now)
	if r.silent != "" && !a.Complete && !r.MayLeave && now.Sub(r.Sent) < r.Timeout && !l.interrupted(r, now) {
		l.addFinding("silence", id, now, "status %d, complete %v, from %s %s after it was sent; ran at %v, where %s was silent and went on", a.Status, a.Complete, r.Entry, now.Sub(r.Sent), r.upstreams, r.silent)
	}
	if late := now.Sub(r.Sent) - r.Timeout; late > l.Bounds.LateAnswer && l.connected(r.Entry, r.Sent, now) {
		l.addFinding("time-out", id, now, "answered %s after the time-out of the route", late)
	}
	if r.Version > 0 {
		l.checkVersion(r, a, now)
	}
}

// checkLoss checks a request without a complete answer beside planned disturbances only.
func (l *Ledger) checkLoss(r *record, a Answer, now time.Time) {
	since := now.Sub(r.Sent)
	if a.Complete || r.MayLeave || since >= r.Timeout || !l.undisturbed(r.Sent, now) || l.outlasted(r, now) {
		return
	}
	if len(r.runs) > 0 {
		l.addFinding("planned-stop", r.ID, now, "status %d and no complete answer from %s, with no disturbance other than planned stops", a.Status, r.Entry)
	}
}

// unansweredFindings checks requests that no upstream ran and whose connection was closed
// without an answer, beside planned disturbances only.
func (l *Ledger) unansweredFindings() []Finding {
	var out []Finding
	for _, r := range l.order {
		since := r.end.Sub(r.Sent)
		if r.end.IsZero() || r.answer.Status != 0 || r.MayLeave || len(r.runs) > 0 || since >= r.Timeout {
			continue
		}
		if late := since - r.BodyTime - l.stalled(r.Sent, r.end); late > l.Bounds.LossSlack && l.undisturbed(r.Sent, r.end) && !l.outlasted(r, r.end) {
			out = append(out, Finding{Promise: "unanswered", ID: r.ID, At: r.end, What: fmt.Sprintf("%s closed the connection without an answer, %s after the last byte, with no disturbance other than planned stops", r.Entry, late)})
		}
	}
	return out
}

// Stalled records that the soak itself did not run from one time to another: callers saw late
// what happened then.
func (l *Ledger) Stalled(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls = append(l.stalls, disturbance{from: from, to: to})
}

// stalled returns for how long the soak did not run between two times.
func (l *Ledger) stalled(from, to time.Time) time.Duration {
	var sum time.Duration
	for _, d := range l.stalls {
		begin, end := d.from, d.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(end.Sub(begin), 0)
	}
	return sum
}

// checkVersion checks a request on a route that only one configuration version has.
func (l *Ledger) checkVersion(r *record, a Answer, now time.Time) {
	if l.disturbed(r.Sent, now, func(d disturbance) bool { return d.target == r.Entry }) {
		return // a previous or later process may have answered
	}
	process := fmt.Sprint(r.Entry, "/", r.Start)
	newest := l.newest[process]
	if a.Status == 200 {
		if r.Version < newest.version && r.Sent.Sub(newest.at) > l.Bounds.StaleConfig {
			l.addFinding("configuration-never-back", r.ID, now, "%s uses version %d, %s after %d", process, r.Version, r.Sent.Sub(newest.at), newest.version)
		}
		if r.Version > newest.version {
			l.newest[process] = seen{r.Version, now}
		}
		if next, ok := l.acknowledged[r.Version+1]; ok && r.Sent.Sub(next) > l.Bounds.Config && l.connected(r.Entry, next, r.Sent) {
			l.addFinding("configuration-in-force", r.ID, now, "%s uses version %d, %s after the next one was acknowledged", process, r.Version, r.Sent.Sub(next))
		}
	}
	if at, ok := l.acknowledged[r.Version]; ok && a.Status == 404 {
		if _, replaced := l.acknowledged[r.Version+1]; !replaced && r.Sent.Sub(at) > l.Bounds.Config && l.connected(r.Entry, at, r.Sent) {
			l.addFinding("configuration-in-force", r.ID, now, "%s does not have version %d, %s after it was acknowledged", process, r.Version, r.Sent.Sub(at))
		}
	}
}

// outlasted reports whether a request that ends at now was sent early in a planned stop of its
// entry, or before, and lasted into the last sixth of the grace.
func (l *Ledger) outlasted(r *record, now time.Time) bool {
	return l.Bounds.Grace > 0 && l.disturbed(r.Sent, now, func(d disturbance) bool {
		return d.planned && d.target == r.Entry && r.Sent.Sub(d.from) <= l.Bounds.EarlyRequest && now.Sub(d.from) >= l.Bounds.Grace*5/6
	})
}

// interrupted reports whether the entry of a request or an upstream that ran it was
// disturbed before its end at now.
func (l *Ledger) interrupted(r *record, now time.Time) bool {
	return l.disturbed(r.Sent, now, func(d disturbance) bool { return d.target == r.Entry || slices.Contains(r.upstreams, d.target) })
}

// connected reports whether neither the entry nor the store was disturbed between
// from, less the recovery time, and to.
func (l *Ledger) connected(entry string, from, to time.Time) bool {
	return !l.disturbed(from.Add(-l.Bounds.Recovery), to, func(d disturbance) bool { return d.target == entry || d.target == Store })
}

// Undisturbed reports whether there was no disturbance between from, less the
// recovery time, and to, except planned ones.
func (l *Ledger) Undisturbed(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.undisturbed(from, to)
}

// undisturbed is Undisturbed for callers that hold mu.
func (l *Ledger) undisturbed(from, to time.Time) bool {
	return !l.disturbed(from.Add(-l.Bounds.Recovery), to, func(d disturbance) bool { return !d.planned })
}

func (l *Ledger) disturbed(from, to time.Time, counts func(disturbance) bool) bool {
	for _, d := range l.disturbances {
		if counts(d) && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return true
		}
	}
	return false
}

// Report adds a finding that does not concern a request; id names what it concerns.
func (l *Ledger) Report(promise, id string, at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFinding(promise, id, at, format, args...)
}

func (l *Ledger) addFinding(promise, id string, at time.Time, format string, args ...any) {
	l.findings = append(l.findings, Finding{Promise: promise, ID: id, What: fmt.Sprintf(format, args...), At: at})
}

// Findings returns all findings so far, sorted by time, including those of quotas,
// retries and limits over time windows and those of prompts under which engines crash.
func (l *Ledger) Findings() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := append([]Finding(nil), l.findings...)
	out = append(out, l.quotaFindings()...)
	out = append(out, l.retryFindings()...)
	out = append(out, l.crashFindings()...)
	out = append(out, l.soundFindings()...)
	out = append(out, l.limitFindings()...)
	out = append(out, l.unansweredFindings()...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}
