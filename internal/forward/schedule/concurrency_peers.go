package schedule

import (
	"maps"
	"slices"
	"time"
)

// reportConcurrency returns the samples for the peers, every concurrencyInterval. At one
// moment all calls return the same.
func (s *Scheduler) reportConcurrency(now time.Time) []ConcurrencyReport {
	if !s.Options.LearnConcurrency || now.Equal(s.learning.reported) {
		return s.learning.reports
	}
	s.learning.reports = nil
	if now.Sub(s.learning.reported) < concurrencyInterval {
		return nil
	}
	s.learning.reported = now
	ids := slices.Sorted(maps.Keys(s.byID))
	if len(ids) == 0 {
		return nil
	}
	// What has changed comes first, then all counts of some upstreams in turn: these make
	// up for lost messages and tell entries that have just started.
	left := s.addReports(ids, maxConcurrencyCounts, false, now)
	from, _ := slices.BinarySearch(ids, s.learning.next)
	s.addReports(slices.Concat(ids[from:], ids[:from]), left, true, now)
	return s.learning.reports
}

// addReports adds reports of upstreams with at most left counts, and returns how many
// counts are left. With all set it begins with the first upstream that comes next.
func (s *Scheduler) addReports(ids []string, left int, all bool, now time.Time) int {
	for i, id := range ids {
		u := s.byID[id]
		if u.learned == nil {
			continue
		}
		if left <= 0 || len(s.learning.reports) >= maxConcurrencyReports {
			break
		}
		if all {
			s.learning.next = ids[(i+1)%len(ids)]
		}
		r := ConcurrencyReport{IdentityOf(&u.Replica), u.learned.limit.Report(s.Start, left, all, now)}
		if len(r.Report.Counts) > 0 {
			left -= len(r.Report.Counts)
			s.learning.reports = append(s.learning.reports, r)
		}
	}
	return left
}

// learnConcurrency takes over what a peer observed.
func (s *Scheduler) learnConcurrency(name string, list []ConcurrencyReport, now time.Time) {
	if !s.Options.LearnConcurrency {
		return
	}
	for i := range list[:min(len(list), maxConcurrencyReports)] {
		r := &list[i]
		u := s.byID[r.Upstream.ID]
		if u == nil || u.learned == nil || u.Born != r.Upstream.Born {
			continue
		}
		before := u.learned.limit.Value()
		if u.learned.limit.Merge(name, r.Report, now) {
			s.limitChanged(u, before, now)
		}
	}
}
