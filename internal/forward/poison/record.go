package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"agateward/internal/forward/schedule"
)

// record is what is known of a suspect since it was last answered.
type record struct {
	crashes map[schedule.Identity]time.Time
	// dropped lists crashes from before the last answer, and those that newer ones
	// replaced, oldest first. A later report of one shows a later time, as ages don't
	// hold the time that a message travelled.
	dropped []schedule.Identity
	// count is the number of crashes that count, last the time of the newest one or of the
	// newest trial, which any entry made.
	count int
	last  time.Time
	// trials is the number of requests of all entries that tried the suspect.
	trials int
	// trial is when this entry began to try the suspect; zero means that it does not.
	trial time.Time
}

// record returns the record of a suspect, a new one if there is none, or nil if too many
// are known that have as many crashes.
func (t *Tracker) record(p Suspect, now time.Time) *record {
	if r := t.records[p]; r != nil {
		return r
	}
	if len(t.records) >= maxSuspects && !t.evict(now) {
		return nil
	}
	r := &record{crashes: make(map[schedule.Identity]time.Time), last: now}
	t.records[p] = r
	return r
}

// evict makes room for a suspect: it drops those that have expired, or else the oldest
// with at most one crash.
func (t *Tracker) evict(now time.Time) bool {
	n := len(t.records)
	var oldest *Suspect
	for p, r := range t.records {
		switch {
		case now.Sub(r.last) > r.ttl():
			t.remove(p)
		case r.count <= 1 && (oldest == nil || r.last.Before(t.records[*oldest].last)):
			oldest = &p
		}
	}
	if len(t.records) == n && oldest != nil {
		t.remove(*oldest)
	}
	return len(t.records) < n
}

func (r *record) ttl() time.Duration {
	if r.count >= blockCrashes {
		return blockTTL
	}
	return suspectTTL
}

// add adds a crash to a record and reports whether it is new.
func (t *Tracker) add(p Suspect, r *record, process schedule.Identity, at time.Time) bool {
	if _, known := r.crashes[process]; known || slices.Contains(r.dropped, process) {
		return false
	}
	if !at.After(t.answeredAt(p)) {
		r.drop(process)
		return false
	}
	if len(r.crashes) >= maxCrashes {
		oldest := t.replaceable(p, r)
		if !at.After(r.crashes[oldest]) {
			r.drop(process)
			return false
		}
		delete(r.crashes, oldest)
		r.drop(oldest)
	}
	r.crashes[process] = at
	if at.After(r.last) {
		r.last = at
	}
	t.setCount(r, min(max(r.count, t.countOf(p, r)), maxCrashes))
	return true
}

// replaceable returns the crash that a newer one replaces: the oldest that does not count,
// or else the oldest.
func (t *Tracker) replaceable(p Suspect, r *record) schedule.Identity {
	list, counted := r.sorted(), t.counted(p, r)
	for _, id := range list {
		if !slices.Contains(counted, id) {
			return id
		}
	}
	return list[0]
}

// sorted returns the processes that crashed, the first one first.
func (r *record) sorted() []schedule.Identity {
	return slices.SortedFunc(maps.Keys(r.crashes), func(a, b schedule.Identity) int {
		return cmp.Or(r.crashes[a].Compare(r.crashes[b]), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
}

// clear removes the crashes up to a time.
func (r *record) clear(until time.Time) {
	for _, id := range r.sorted() {
		if !r.crashes[id].After(until) {
			delete(r.crashes, id)
			r.drop(id)
		}
	}
}

func (r *record) drop(process schedule.Identity) {
	if len(r.dropped) >= maxDropped {
		r.dropped = slices.Delete(r.dropped, 0, 1)
	}
	r.dropped = append(r.dropped, process)
}

// countOf returns the number of crashes of a record that count.
func (t *Tracker) countOf(p Suspect, r *record) int { return len(t.counted(p, r)) }

// counted returns the crashes of a record that count: of a part, those of which each has
// an answer of the target, or togetherTime, between it and the one counted before.
func (t *Tracker) counted(p Suspect, r *record) []schedule.Identity {
	all := r.sorted()
	if p.Kind == Request && (len(all) == 0 || r.crashes[all[0]].Sub(t.answeredAt(p)) > frequentTime) {
		return all
	}
	var list []schedule.Identity
	var last time.Time
	minGap := minCrashGap
	if t.answeredAt(p).IsZero() {
		minGap = 0
	}
	for _, id := range all {
		at := r.crashes[id]
		gap := at.Sub(last)
		if len(list) == 0 || gap >= togetherTime || gap >= minGap && t.answeredBetween(p.Target, last, at) {
			list, last = append(list, id), at
		}
	}
	return list
}

func (t *Tracker) answeredBetween(to Target, from, until time.Time) bool {
	for _, at := range slices.Backward(t.answerTimes[to]) {
		if at.Before(from) {
			return false
		}
		if at.After(from) && at.Before(until) {
			return true
		}
	}
	return false
}
