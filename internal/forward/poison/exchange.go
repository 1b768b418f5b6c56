package poison

import (
	"cmp"
	"slices"
	"time"
)

// maxReports and maxReportedCrashes bound what one message tells of suspects of one kind.
const (
	maxReports         = 12
	maxReportedCrashes = 40
)

// Reports returns what is known of the most suspect, for a message to other entries.
func (t *Tracker) Reports(now time.Time) []Report {
	list := make([]Suspect, 0, len(t.records))
	for p, r := range t.records {
		if now.Sub(r.last) > r.ttl() {
			t.remove(p)
			continue
		}
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		ra, rb := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(rb.count, ra.count), rb.last.Compare(ra.last), compareSuspects(a, b))
	})
	return t.ReportsOf(list, now)
}

// ReportsOf returns what is known of the given suspects, as many as a message holds.
func (t *Tracker) ReportsOf(list []Suspect, now time.Time) []Report {
	var out []Report
	var reports, crashes [kinds]int
	for _, p := range list {
		r := t.records[p]
		if r == nil || reports[p.Kind] >= maxReports || crashes[p.Kind]+len(r.crashes) > maxReportedCrashes {
			continue
		}
		reports[p.Kind]++
		crashes[p.Kind] += len(r.crashes)
		report := Report{Suspect: p, Count: r.count, Trials: r.trials, AnsweredAge: -1, TargetAge: -1}
		if times := t.answerTimes[p.Target]; len(times) > 0 {
			report.TargetAge = now.Sub(times[len(times)-1]).Milliseconds()
		}
		if at := t.answeredAt(p); !at.IsZero() {
			report.AnsweredAge = now.Sub(at).Milliseconds()
		}
		for id, at := range r.crashes {
			report.Crashes = append(report.Crashes, Crash{Process: id, Age: now.Sub(at).Milliseconds()})
		}
		slices.SortFunc(report.Crashes, func(a, b Crash) int {
			return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process.ID, b.Process.ID))
		})
		out = append(out, report)
	}
	return out
}

// Merge takes over the reports of another entry. It returns the suspects of which
// something new is known.
func (t *Tracker) Merge(reports []Report, now time.Time) []Suspect {
	t.init()
	var changed []Suspect
	for _, report := range reports[:min(len(reports), int(kinds)*maxReports)] {
		if report.Kind < kinds && t.merge(report, now) {
			changed = append(changed, report.Suspect)
		}
	}
	return changed
}

func (t *Tracker) merge(report Report, now time.Time) bool {
	if t.records[report.Suspect] == nil && len(report.Crashes) == 0 {
		if at := age(now, report.AnsweredAge); report.AnsweredAge >= 0 && t.answeredAt(report.Suspect).IsZero() {
			t.answered[report.Kind].set(report.Suspect, at)
		}
		return false
	}
	r := t.record(report.Suspect, now)
	if r == nil {
		return false
	}
	if report.TargetAge >= 0 {
		// A crash is never seen too early, so an answer must not be seen too late: one from
		// before the crashes would lie between them.
		t.recordAnswer(report.Target, age(now, report.TargetAge).Add(-maxAgeError))
	}
	changed := false
	if at := age(now, report.AnsweredAge); report.AnsweredAge >= 0 && at.After(t.answeredAt(report.Suspect).Add(maxAgeError)) {
		changed = t.clear(report.Suspect, r, at)
	}
	shared := 0
	for _, c := range report.Crashes[:min(len(report.Crashes), maxCrashes)] {
		changed = t.add(report.Suspect, r, c.Process, age(now, c.Age)) || changed
		if _, ok := r.crashes[c.Process]; ok {
			shared++
		}
	}
	if n := min(report.Count, shared); n > r.count {
		t.setCount(r, n)
		changed = true
	}
	// A trial belongs to the crashes that it followed: those of before an answer are
	// forgotten with them.
	if n := min(report.Trials, maxTrials); n > r.trials && shared >= blockCrashes {
		r.trials, r.last, changed = n, now, true
	}
	return changed
}

// maxAgeError is the time by which an answer seems later than it was, after its age has
// travelled between entries: an answer that is later by less is the same one.
const maxAgeError = 500 * time.Millisecond

// clear removes the crashes before an answer and reports whether there were any.
func (t *Tracker) clear(p Suspect, r *record, at time.Time) bool {
	t.answered[p.Kind].set(p, at)
	n := len(r.crashes)
	r.clear(at)
	if n == len(r.crashes) {
		return false
	}
	r.trial, r.trials = time.Time{}, 0
	t.setCount(r, t.countOf(p, r))
	return true
}

// age returns the time that was ms milliseconds before now, within the lifetime of a
// record.
func age(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(min(max(ms, 0), blockTTL.Milliseconds())) * time.Millisecond)
}

func compareSuspects(a, b Suspect) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}
