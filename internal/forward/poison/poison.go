// Package poison finds the requests, and the parts of prompts, under which upstreams
// crash, and keeps them away from upstreams.
//
// A crash speaks against each suspect of each request that the upstream had not begun to
// answer: against the request itself, which may come again, and against each part of its
// prompt, which other requests may share. A whole answer clears them: a part for the
// version of the service that gave it, a request for all. A crash counts against a part
// only if the version has answered other requests, or begun to, since the last one that
// counted, or a second after it: upstreams that end together say nothing about a part.
// Against a request each crash counts, as few upstreams run the same request at once,
// unless it was answered just before: then crashes that come together are one. A suspect
// that was never answered explains the crashes of those that were.
//
// # Usage
//
//	t := poison.Tracker{}
//	v := t.Check(target, content, fleet, now)            // before each send
//	changed := t.Tried(v.Trial, now)                     // a trial is sent
//	changed = t.Crashed(target, process, content, now)   // an upstream ended
//	t.Begun(target, now)                                 // the begin of an answer
//	changed = t.Answered(target, content, now)           // a whole answer
//	reports := t.Reports(now)                            // to other entries
//	changed = t.Merge(reports, now)                      // from other entries
//
// The tracker reads no clock and does no I/O.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"agateward/internal/forward/schedule"
)

const (
	// blockCrashes is the number of crashes from which requests with a suspect are
	// blocked; repeatCrashes is the number from which they are not repeated.
	blockCrashes  = 3
	repeatCrashes = 2
	// maxCrashes bounds the crashes that are kept of a suspect, maxDropped those that no
	// longer are.
	maxCrashes = 8
	maxDropped = 64
	// firstTrial is the time from the last of blockCrashes crashes until one request with
	// the part is tried. Each further crash doubles it, up to maxTrial.
	firstTrial = 10 * time.Second
	maxTrial   = time.Hour
	// maxRequestTrials bounds the tries of a request: one that comes again all day may
	// reach upstreams three times at the most after it was blocked. The last of them waits
	// for maxTrial.
	maxRequestTrials = 3
	// firstRequestTrial is firstTrial for a request.
	firstRequestTrial = 30 * time.Second
	// maxTrials bounds the trials of a suspect that a peer reports.
	maxTrials = 64
	// trialStagger is the time between the turns of two entries to try a suspect. It is
	// longer than the outcome of a trial takes to reach all entries.
	trialStagger = 2 * time.Second
	// trialTimeout is the time after which a trial without an outcome is forgotten.
	trialTimeout = 30 * time.Second
	// suspectTTL and blockTTL are how long a suspect is remembered after its last crash or
	// trial.
	suspectTTL = 10 * time.Minute
	blockTTL   = 2 * maxTrial
	// maxSuspects bounds the remembered suspects, maxAnswered those of each kind that are
	// known to have been answered.
	maxSuspects = 1024
	maxAnswered = 8192
	// minAnswerGap is the least time between two answers of a version that are
	// remembered, maxAnswerTimes their number.
	minAnswerGap   = 20 * time.Millisecond
	maxAnswerTimes = 256
	// togetherTime is the time within which upstreams may have ended together, if their
	// version answers nothing or if they ran a request that is answered often.
	togetherTime = time.Second
	// frequentTime is the time since its last answer within which a request counts as one
	// that is answered often.
	frequentTime = 2 * time.Second
	// minCrashGap is the least time between two crashes that count against a part that
	// was answered before: a rack does not end in one moment, and the rest of the version
	// answers meanwhile.
	minCrashGap = 200 * time.Millisecond
	// maxTargets bounds the versions whose answers are remembered.
	maxTargets = 256
)

// Target is a version of a service.
type Target struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
}

// Kind tells what a suspect is.
type Kind uint8

// Kinds of suspects.
const (
	// Part is a part of the prompts sent to a target.
	Part Kind = iota
	// Request is a request that comes again, with any target.
	Request

	kinds
)

// Suspect is what upstreams may crash under.
type Suspect struct {
	// Target is that of a part, the zero value for a request.
	Target
	// ID is the id of a part or the digest of a request.
	ID   uint64 `msgpack:"p"`
	Kind Kind   `msgpack:"q,omitempty"`
}

// Content is what of a request may crash upstreams.
type Content struct {
	// Parts lists the ids of the parts of the prompt that other requests may share.
	Parts []uint64
	// Digest identifies the whole request, 0 if that is not known.
	Digest uint64
}

// suspects returns the suspects of a request to a target.
func (c Content) suspects(to Target) []Suspect {
	list := make([]Suspect, 0, len(c.Parts)+1)
	for _, id := range c.Parts {
		list = append(list, Suspect{Target: to, ID: id})
	}
	if c.Digest != 0 {
		list = append(list, Suspect{ID: c.Digest, Kind: Request})
	}
	return list
}

// Crash is the end of a process of an upstream.
type Crash struct {
	Process schedule.Identity `msgpack:"u"`
	// Age is the time in milliseconds since the crash.
	Age int64 `msgpack:"a"`
}

// Report is what an entry knows of a suspect.
type Report struct {
	Suspect
	// Crashes lists the crashes since the suspect was last answered, Count how many of
	// them count.
	Crashes []Crash `msgpack:"c,omitempty"`
	Count   int     `msgpack:"n,omitempty"`
	// Trials is the number of requests that tried it since then.
	Trials int `msgpack:"r,omitempty"`
	// AnsweredAge is the time in milliseconds since the suspect was last answered
	// completely, -1 for never.
	AnsweredAge int64 `msgpack:"w"`
	// TargetAge is the time in milliseconds since the target last answered any request or
	// began to, -1 for never.
	TargetAge int64 `msgpack:"t"`
}

// Fleet is the number of entries and the index of this one among them.
type Fleet struct{ Entries, Index int }

// Verdict is the decision on a request.
type Verdict struct {
	// Blocked is true if the request must not be sent. Suspect is then the reason, Count the
	// number of its crashes and RetryAfter the time until it may be tried.
	Blocked    bool
	Suspect    Suspect
	Count      int
	RetryAfter time.Duration
	// Trial lists the blocked suspects that the request tries.
	Trial []Suspect
}

// Tracker holds what an entry knows of suspects. Its zero value is ready to use.
type Tracker struct {
	records map[Suspect]*record
	// blocking lists the records with blockCrashes, nil while it is not up to date.
	blocking []Suspect
	answered [kinds]answers
	// answerTimes holds when a target gave whole answers or began one, oldest first.
	answerTimes map[Target][]time.Time
}

func (t *Tracker) init() {
	if t.records == nil {
		t.records, t.answerTimes = make(map[Suspect]*record), make(map[Target][]time.Time)
	}
}

// Crashed records that a process of an upstream ended before it began to answer a
// request. It returns the suspects of which something new is known.
func (t *Tracker) Crashed(to Target, process schedule.Identity, c Content, now time.Time) []Suspect {
	t.init()
	var changed []Suspect
	for _, p := range c.suspects(to) {
		r := t.record(p, now)
		if r == nil {
			continue
		}
		r.trial = time.Time{}
		if t.add(p, r, process, now) {
			changed = append(changed, p)
		}
	}
	return changed
}

// Begun records that a target has begun to answer a request.
func (t *Tracker) Begun(to Target, now time.Time) {
	t.init()
	t.recordAnswer(to, now)
}

// Answered records a whole answer to a request. It returns the suspects that it cleared.
func (t *Tracker) Answered(to Target, c Content, now time.Time) []Suspect {
	t.init()
	t.recordAnswer(to, now)
	var cleared []Suspect
	for _, p := range c.suspects(to) {
		t.answered[p.Kind].set(p, now)
		if r := t.records[p]; r != nil && (len(r.crashes) > 0 || !r.trial.IsZero()) {
			r.clear(now)
			r.last, r.trials, r.trial = now, 0, time.Time{}
			t.setCount(r, 0)
			cleared = append(cleared, p)
		}
	}
	return cleared
}

// answeredAt returns when a suspect was last answered, the zero time for never.
func (t *Tracker) answeredAt(p Suspect) time.Time { return t.answered[p.Kind].at(p) }

// Tried records that a request which tries suspects is sent. It returns those of which
// other entries have to hear before there is an outcome: the requests, of which few may
// be tried. A part is tried again soon if the outcome is lost, as sound requests have it.
func (t *Tracker) Tried(list []Suspect, now time.Time) []Suspect {
	var changed []Suspect
	for _, p := range list {
		if r := t.records[p]; r != nil && p.Kind == Request {
			r.trials, r.last = r.trials+1, now
			changed = append(changed, p)
		}
	}
	return changed
}

// setCount sets the number of crashes of a record that count.
func (t *Tracker) setCount(r *record, n int) {
	if (r.count >= blockCrashes) != (n >= blockCrashes) {
		t.blocking = nil
	}
	r.count = n
}

// remove forgets a suspect.
func (t *Tracker) remove(p Suspect) {
	if r := t.records[p]; r != nil {
		t.setCount(r, 0)
		delete(t.records, p)
	}
}

// withBlockCrashes returns the suspects with blockCrashes, in no order.
func (t *Tracker) withBlockCrashes() []Suspect {
	if t.blocking == nil {
		t.blocking = []Suspect{}
		for p, r := range t.records {
			if r.count >= blockCrashes {
				t.blocking = append(t.blocking, p)
			}
		}
	}
	return t.blocking
}

// recordAnswer records that a target answered a request or began to.
func (t *Tracker) recordAnswer(to Target, at time.Time) {
	times, known := t.answerTimes[to]
	if !known && len(t.answerTimes) >= maxTargets {
		t.dropOldestTarget()
	}
	i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	if i > 0 && at.Sub(times[i-1]) < minAnswerGap || i < len(times) && times[i].Sub(at) < minAnswerGap {
		return
	}
	if times = slices.Insert(times, i, at); len(times) > maxAnswerTimes {
		times = slices.Delete(times, 0, maxAnswerTimes/2)
	}
	t.answerTimes[to] = times
}

// dropOldestTarget forgets the answers of the target that answered least recently.
func (t *Tracker) dropOldestTarget() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.answerTimes)), func(a, b Target) int {
		x, y := t.answerTimes[a], t.answerTimes[b]
		return cmp.Or(x[len(x)-1].Compare(y[len(y)-1]), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	delete(t.answerTimes, oldest)
}

// Abandon ends a trial without an outcome. If the request was sent, the next one waits as
// after a crash.
func (t *Tracker) Abandon(list []Suspect, sent bool, now time.Time) {
	for _, p := range list {
		r := t.records[p]
		if r == nil || r.trial.IsZero() {
			continue
		}
		r.trial = time.Time{}
		if sent {
			r.last = now
		}
	}
}
