package ledger

import (
	"fmt"
	"slices"
	"time"

	"agateward/ward"
)

// Crash is why upstreams crash under a request.
type Crash string

// Causes of crashes: a part of the prompt, which other requests have too, or the request
// itself, which comes again.
const (
	NoCrash      Crash = ""
	PartCrash    Crash = "part"
	RequestCrash Crash = "request"
)

// crashes returns the number of crashes from which requests with their cause are bounded.
func (b Bounds) crashes(c Crash) int {
	if c == RequestCrash {
		return b.RequestCrashes
	}
	return b.Crashes
}

// reach is the arrival of a request at an upstream.
type reach struct {
	request  *record
	upstream string
	at       time.Time
}

// Reached records that a request under which upstreams crash arrived at one.
func (l *Ledger) Reached(id, upstream string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		l.reaches = append(l.reaches, reach{r, upstream, at})
	}
}

// Crashed records that an upstream crashed as it began to answer a request.
func (l *Ledger) Crashed(c Crash, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes == nil {
		l.crashes = make(map[Crash][]time.Time)
	}
	l.crashes[c] = append(l.crashes[c], at)
}

// crashFindings checks how many requests under which upstreams crash still reach some once
// that is known. Not counted are those sent by an entry that was disturbed, or through a
// connection that may have held them up.
func (l *Ledger) crashFindings() []Finding {
	return slices.Concat(l.lateCrashes(PartCrash), l.lateCrashes(RequestCrash))
}

// lateCrashes is crashFindings for one cause of crashes.
func (l *Ledger) lateCrashes(c Crash) []Finding {
	crashes, bound := l.crashes[c], l.Bounds.crashes(c)
	if len(crashes) < bound {
		return nil
	}
	sortTimes(crashes)
	known := crashes[bound-1].Add(l.Bounds.Contact)
	var late []reach
	for _, r := range l.reaches {
		if r.request.Crash == c && r.at.After(known) && l.inTouch(r.request.Entry, r.at, r.at) && !l.heldUp(r) {
			late = append(late, r)
		}
	}
	if len(late) <= l.Bounds.CrashRequests {
		return nil
	}
	slices.SortFunc(late, func(a, b reach) int { return a.at.Compare(b.at) })
	last := late[len(late)-1]
	return []Finding{{Promise: "crash-requests", ID: last.request.ID, At: last.at, What: fmt.Sprintf(
		"%d requests under which upstreams crash (%s) reach some from %s after crash %d of %d on, allowed are %d; the first is %s at %s, %s after that crash",
		len(late), c, l.Bounds.Contact, bound, len(crashes), l.Bounds.CrashRequests, late[0].request.ID, late[0].upstream, late[0].at.Sub(known)+l.Bounds.Contact)}}
}

// inTouch reports whether neither the entry nor the store was disturbed between from, less
// Contact, and to.
func (l *Ledger) inTouch(entry string, from, to time.Time) bool {
	return !l.disturbed(from.Add(-l.Bounds.Contact), to, func(d disturbance) bool { return d.target == entry || d.target == Store })
}

// heldUp reports whether a disturbance of the engine may have delayed an arrival there.
func (l *Ledger) heldUp(r reach) bool {
	return l.disturbed(r.at.Add(-l.Bounds.Contact), r.at, func(d disturbance) bool { return d.target == r.upstream && !d.planned })
}

// soundFindings checks that sound requests are served while others come under which engines
// crash. All requests of a team have the same key and the same first part. Not counted are
// those at a disturbed entry, and those sent while all engines answered wrongly: no entry
// can make up for that.
func (l *Ledger) soundFindings() []Finding {
	crashes := l.crashes[PartCrash]
	if len(crashes) == 0 {
		return nil
	}
	sortTimes(crashes)
	known := crashes[min(len(crashes), l.Bounds.Crashes)-1].Add(2 * l.Bounds.Contact)
	team, last := l.lastCrashing()
	var before, after share
	for _, r := range l.order {
		// A stream that may not be resumed fails with each wrong answer of an engine.
		if r.Team != team || r.Crash != NoCrash || r.MayLeave || r.end.IsZero() || r.Kind != ward.ForwardStream || !r.Resumable {
			continue
		}
		switch {
		case r.Sent.Before(crashes[0]) && l.undisturbed(r.Sent, r.Sent):
			before.add(r)
		case !r.Sent.Before(known) && r.Sent.Before(last) && l.inTouch(r.Entry, r.Sent, r.end) && !l.wrongAnswers(r):
			after.add(r)
		}
	}
	if min(before.asked, after.asked) < l.Bounds.SoundRequests || after.of() >= l.Bounds.SoundShare*before.of() {
		return nil
	}
	return []Finding{{Promise: "crash-sound-requests", ID: team, At: last, What: fmt.Sprintf(
		"%d of %d sound requests with the key and first part of those under which engines crash were served from %s after crash %d on, %d of %d before the first",
		after.served, after.asked, 2*l.Bounds.Contact, min(len(crashes), l.Bounds.Crashes), before.served, before.asked)}}
}

// lastCrashing returns the team of the requests with a part under which engines crash and
// the time at which the last one was sent.
func (l *Ledger) lastCrashing() (team string, at time.Time) {
	for _, r := range l.order {
		if r.Crash == PartCrash {
			team, at = r.Team, r.Sent
		}
	}
	return team, at
}

// wrongAnswers reports whether all engines answered wrongly during a request.
func (l *Ledger) wrongAnswers(r *record) bool {
	return l.disturbed(r.Sent, r.end, func(d disturbance) bool { return d.target == Engines })
}

// share counts requests and those of which an answer began.
type share struct{ asked, served int }

func (s *share) add(r *record) {
	s.asked++
	if r.answer.Status == 200 {
		s.served++
	}
}

// of returns the part that was served.
func (s *share) of() float64 { return float64(s.served) / float64(max(s.asked, 1)) }
