package schedule

import (
	"cmp"
	"slices"
	"time"

	"agateward/internal/forward/limit"
)

const (
	// coldHeartbeat is the time between two registrations of an upstream. One that could
	// not be reached for longer may have started again.
	coldHeartbeat = 1200 * time.Millisecond
	// wakeGap is the time without any call from which this entry may have been stopped: it
	// reports its state several times in it.
	wakeGap = 500 * time.Millisecond
	// wakeTime is how long an entry that was stopped takes each upstream for cold. It reads
	// the changes that it missed meanwhile.
	wakeTime = 500 * time.Millisecond
	// permitTime is how long a request to a cold upstream may be written after its
	// dispatch. Requests that are held up for longer would arrive together with those of
	// the next second.
	permitTime = 250 * time.Millisecond
	// unlistedEntries is the number of entries that are taken to share a cold upstream
	// while the list of entries is not known: the size of a cell.
	unlistedEntries = 12
	// coldCost is added to the cost of a cold upstream. Its first requests are its slowest,
	// so requests of a higher rank, which choose first, take the others.
	coldCost = 1.5
	// maxColdChanges bounds the changes that are kept until they are read.
	maxColdChanges = 1000
)

// Sources of the knowledge that an upstream is cold.
const (
	coldRegistered  = "registration"
	coldAppeared    = "appeared"
	coldUnreachable = "unreachable"
	coldAnswers     = "answers-again"
	coldReported    = "unresponsive-at-peer"
	coldWoken       = "entry-was-stopped"
)

// ColdChange is an upstream that turned cold as far as this entry knows. With the source
// "entry-was-stopped" it stands for all upstreams and its Upstream is empty.
type ColdChange struct {
	Upstream Identity
	Source   string
	// Rest is how long it is cold, PerSecond the part of this entry of its rate, in
	// requests a second.
	Rest      time.Duration
	PerSecond float64
}

// coldStarts is what the scheduler knows of cold upstreams besides their limits.
type coldStarts struct {
	// rated is the number of upstreams of services that state a cold rate.
	rated int
	// listed is true once this entry has had upstreams.
	listed bool
	// called is the time of the last call.
	called  time.Time
	changes []ColdChange
	// known and names are the number of entries and the names that the parts follow from.
	known int
	names string
}

// noteCall notices that this entry was stopped for a while.
func (s *Scheduler) noteCall(now time.Time) {
	gap := now.Sub(s.cold.called)
	first := s.cold.called.IsZero()
	if gap > 0 {
		s.cold.called = now
	}
	if first || gap < wakeGap || s.cold.rated == 0 {
		return
	}
	for _, u := range s.byID {
		if u.ColdRate > 0 {
			s.limitOf(u).Cool(now.Add(wakeTime), now)
		}
	}
	s.noteCold(ColdChange{Source: coldWoken, Rest: wakeTime})
}

// limitOf returns the limit of the present process of u, with this entry's part of its
// cold rate.
func (s *Scheduler) limitOf(u *upstream) *limit.Limit {
	if u.said == nil {
		u.said = s.statement(IdentityOf(&u.Replica))
		u.said.limit.SetColdPart(u.coldPart, s.cold.called)
	}
	return &u.said.limit
}

// cool records that u is cold for d.
func (s *Scheduler) cool(u *upstream, d time.Duration, source string, now time.Time) {
	if u.ColdRate <= 0 || d <= 0 {
		return
	}
	l := s.limitOf(u)
	l.SetColdPart(u.coldPart, now)
	if l.Cool(now.Add(d), now) {
		s.noteCold(ColdChange{Upstream: IdentityOf(&u.Replica), Source: source, Rest: d, PerSecond: u.coldPart})
	}
}

func (s *Scheduler) noteCold(c ColdChange) {
	if len(s.cold.changes) < maxColdChanges {
		s.cold.changes = append(s.cold.changes, c)
	}
}

// ColdChanges returns the upstreams that turned cold since the last call.
func (s *Scheduler) ColdChanges() []ColdChange {
	list := s.cold.changes
	s.cold.changes = nil
	return list
}

// Cold returns the number of upstreams that are cold.
func (s *Scheduler) Cold(now time.Time) int {
	n := 0
	for _, u := range s.byID {
		if u.isCold(now) {
			n++
		}
	}
	return n
}

// setCold applies what registrations say of cold upstreams. fresh holds those that were
// not registered before.
func (s *Scheduler) setCold(fresh map[string]bool, now time.Time) {
	s.cold.rated = 0
	for _, u := range s.byID {
		if u.ColdRate > 0 {
			s.cold.rated++
		}
	}
	if s.cold.rated > 0 {
		s.divideCold(now)
		for id, u := range s.byID {
			s.cool(u, u.ColdFor, coldRegistered, now)
			if fresh[id] && s.cold.listed {
				s.cool(u, u.ColdTime, coldAppeared, now)
			}
		}
	}
	s.cold.listed = s.cold.listed || len(s.byID) > 0
}

// divideCold sets this entry's part of the rate of each upstream while it is cold. The
// entries of the cell that the upstream belongs to share it.
func (s *Scheduler) divideCold(now time.Time) {
	f := s.coldFleet(now)
	for _, u := range s.byID {
		if u.ColdRate <= 0 {
			continue
		}
		u.coldPart = 0
		if s.Cells == 0 || u.home {
			u.coldPart = f.Part(u.ID, u.ColdRate)
		}
		if u.said != nil {
			u.said.limit.SetColdPart(u.coldPart, now)
		}
	}
}

// coldFleet returns the entries that share the rate of a cold upstream: those of this cell
// that are heard and do not stop. The part of the others stays unused.
func (s *Scheduler) coldFleet(now time.Time) limit.Fleet {
	f := s.heardFleet(now)
	listed := len(s.Members)
	switch {
	case s.Cells == 0 && s.Fleet != nil:
		listed = len(s.Fleet)
	case listed == 0:
		listed = unlistedEntries
	}
	f.Known = max(len(s.limits.heard)+1, listed)
	return f
}

// markHomes marks the upstreams of a service in this entry's data centre that belong to
// its cell. Unlike those that a cell uses, they do not depend on how many there are.
func (s *Scheduler) markHomes(all []*upstream) {
	if s.Cells == 0 {
		return
	}
	var local []*upstream
	for _, u := range all {
		if u.home = false; u.local {
			local = append(local, u)
		}
	}
	slices.SortFunc(local, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	for i, u := range local {
		u.home = i%s.Cells == s.Cell
	}
}

// isCold reports whether u is cold.
func (u *upstream) isCold(now time.Time) bool { return u.said != nil && u.said.limit.Cold(now) }

// outcomeCold notices an upstream that can't be reached, or answers again, for longer than
// a heartbeat: it may have started again, and its registration may come later. It is
// called before the outcome is recorded.
func (s *Scheduler) outcomeCold(u *upstream, reached bool, now time.Time) {
	if s.byID[u.ID] != u || u.ColdRate <= 0 {
		return
	}
	if !reached && u.lostSince.IsZero() {
		u.lostSince = now
	}
	lost := !u.lostSince.IsZero() && now.Sub(u.lostSince) > coldHeartbeat
	switch {
	case lost && reached:
		s.cool(u, u.ColdTime, coldAnswers, now)
	case lost:
		s.cool(u, s.coldTrial(u), coldUnreachable, now)
	}
	if reached {
		u.lostSince = time.Time{}
	}
}

// coldTrial returns how long an upstream that can't be reached is taken for cold after
// each failed attempt. After it, entries without a part of its rate try it again, all of
// them together about as often as a cell does.
func (s *Scheduler) coldTrial(u *upstream) time.Duration {
	if s.Cells == 0 || u.home {
		return u.ColdTime
	}
	return u.ColdTime * time.Duration(max(len(s.Fleet)/unlistedEntries, 1))
}

// reportCold notices an upstream that a peer has reported as unresponsive for longer than a
// heartbeat, and that this entry has not heard since.
func (s *Scheduler) reportCold(u *upstream, at, now time.Time) {
	if u.ColdRate <= 0 {
		return
	}
	if at.Sub(u.reportedAt) > reportTTL || u.reportedFrom.IsZero() {
		u.reportedFrom = at
	}
	if at.Sub(u.reportedFrom) > coldHeartbeat && u.lastHeard.Before(u.reportedFrom) {
		s.cool(u, u.ColdTime, coldReported, now)
	}
}
