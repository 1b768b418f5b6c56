package poison

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// Check decides whether a request may be sent to a target.
func (t *Tracker) Check(to Target, c Content, f Fleet, now time.Time) Verdict {
	var v Verdict
	if len(t.withBlockCrashes()) == 0 {
		return v
	}
	for _, p := range c.suspects(to) {
		n, last := t.blocked(p, now)
		if n == 0 {
			continue
		}
		wait := t.untilTrial(p, n, last, f, now)
		if wait <= 0 {
			v.Trial = append(v.Trial, p)
			continue
		}
		if !v.Blocked || wait > v.RetryAfter {
			v.Blocked, v.Suspect, v.Count, v.RetryAfter = true, p, n, wait
		}
	}
	if v.Blocked {
		v.Trial = nil
	}
	for _, p := range v.Trial {
		if r := t.record(p, now); r != nil {
			r.trial = now
		}
	}
	return v
}

// Barred is Check without taking a turn to try a suspect.
func (t *Tracker) Barred(to Target, c Content, f Fleet, now time.Time) Verdict {
	v := t.Check(to, c, f, now)
	t.Abandon(v.Trial, false, now)
	return v
}

// MayRepeat reports whether a request to a service may be sent again after its upstream
// crashed.
func (t *Tracker) MayRepeat(service string, c Content) bool {
	for p, r := range t.records {
		if r.count < repeatCrashes {
			continue
		}
		held := p.Kind == Request && c.Digest == p.ID || p.Kind == Part && p.Service == service && slices.Contains(c.Parts, p.ID)
		if held && !t.explained(p, r) {
			return false
		}
	}
	return true
}

// Count returns the number of crashes under a suspect that count.
func (t *Tracker) Count(p Suspect) int {
	if r := t.records[p]; r != nil {
		return r.count
	}
	return 0
}

// blocked returns the crashes of a suspect and the time of the last one that bars its
// requests from a target, 0 if none does. A part that crashes one version of a service
// is barred from the others too, until they have answered it.
func (t *Tracker) blocked(p Suspect, now time.Time) (n int, last time.Time) {
	own := t.records[p]
	if own != nil && own.count >= blockCrashes && now.Sub(own.last) < blockTTL {
		if t.explained(p, own) {
			return 0, last
		}
		return own.count, own.last
	}
	if p.Kind == Request || !t.answeredAt(p).IsZero() {
		return 0, last
	}
	for _, other := range t.withBlockCrashes() {
		r := t.records[other]
		if other.Kind == p.Kind && other.ID == p.ID && other.Service == p.Service && now.Sub(r.last) < blockTTL && !t.explained(other, r) {
			n = max(n, r.count)
			if own != nil {
				last = own.last
			}
		}
	}
	if n > 0 && own != nil {
		n += own.count // each trial that crashed doubles the time until the next
	}
	return n, last
}

// explained reports whether another suspect explains the crashes of one that was
// answered before: one that never was, and that was there in all of them but one at
// most.
func (t *Tracker) explained(p Suspect, r *record) bool {
	if t.answeredAt(p).IsZero() {
		return false
	}
	for other, o := range t.records {
		sameTarget := other.Target == p.Target || other.Kind == Request || p.Kind == Request
		if other == p || !sameTarget || o.count < repeatCrashes || !t.answeredAt(other).IsZero() {
			continue
		}
		shared := 0
		for id := range r.crashes {
			if _, ok := o.crashes[id]; ok {
				shared++
			}
		}
		if shared >= len(r.crashes)-1 {
			return true
		}
	}
	return false
}

// untilTrial returns the time until this entry may try a suspect with n crashes.
func (t *Tracker) untilTrial(p Suspect, n int, last time.Time, f Fleet, now time.Time) time.Duration {
	if r := t.records[p]; r != nil && !r.trial.IsZero() && now.Sub(r.trial) < trialTimeout {
		return trialTimeout - now.Sub(r.trial)
	}
	delay := t.trialDelay(p, n)
	entries := max(f.Entries, 1)
	turn := (f.Index - int(p.hash()%uint64(entries)) + entries) % entries
	if last.IsZero() {
		// Another version crashed under the part, this one has not been tried.
		if turn == 0 {
			return 0
		}
		return firstTrial
	}
	return last.Add(delay + time.Duration(turn)*trialStagger).Sub(now)
}

// trialDelay returns the time from the last crash or trial of a suspect with n crashes
// until the next trial.
func (t *Tracker) trialDelay(p Suspect, n int) time.Duration {
	if p.Kind == Part {
		if shift := n - blockCrashes; shift < 9 {
			return min(firstTrial<<shift, maxTrial)
		}
		return maxTrial
	}
	switch r := t.records[p]; {
	case r.trials >= maxRequestTrials:
		return blockTTL
	case r.trials == maxRequestTrials-1:
		return maxTrial
	default:
		return firstRequestTrial << r.trials
	}
}

// hash spreads the first turns to try suspects over the entries.
func (p Suspect) hash() uint64 {
	h := fnv.New64a()
	for _, s := range []string{p.Service, p.Version, strconv.FormatUint(p.ID, 16)} {
		// Write of a hash returns no error.
		_, _ = h.Write([]byte(s))
	}
	return h.Sum64()
}

// Blocked returns the suspects that are blocked now, sorted by ID.
func (t *Tracker) Blocked(now time.Time) []Suspect {
	var list []Suspect
	for p := range t.records {
		if n, _ := t.blocked(p, now); n > 0 {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, compareSuspects)
	return list
}
