package schedule

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"agateward/internal/forward/limit"
	"agateward/ward"
)

const (
	// limitNewsTime is how long each message to the peers repeats a limit that has changed.
	// All limits are repeated, some at a time, at limitRefreshInterval.
	limitNewsTime        = time.Second
	limitRefreshInterval = time.Second
	// maxLimitNews and maxLimitRefresh bound the limits in one message.
	maxLimitNews    = 50
	maxLimitRefresh = 16
	// memberTTL is how long a peer that is not heard counts as an entry that may use its
	// part of a limit.
	memberTTL = 60 * time.Second
	// limitTrialInterval is the time without a request after which the next request that
	// can be in time there goes to an upstream with a limit.
	limitTrialInterval = 2 * time.Second
	// leastUnheardHolders is the least number of holders of a limit in a fleet that is
	// divided into cells: an entry does not hear those of other cells.
	leastUnheardHolders = 2
)

// LimitReport is what an entry knows of the limit of an upstream.
type LimitReport struct {
	Upstream Identity    `msgpack:"u"`
	State    limit.State `msgpack:"s"`
}

// LimitChange is a change of what is known of the limit of an upstream. Age is how long
// the state before it was known.
type LimitChange struct {
	LimitReport
	Age time.Duration
}

// limits is what the scheduler knows of the limits of all upstreams. Its zero value
// knows none.
type limits struct {
	// known holds the registered processes that have ever named a limit.
	known map[Identity]*statement
	// changed holds when the limit of a process changed last.
	changed map[Identity]time.Time
	// fleet is the set of entries, fleetNames their names, that the parts follow from.
	fleet      limit.Fleet
	fleetNames string
	// heard holds when each peer was last heard.
	heard map[string]time.Time
	// refreshed is the time of the last message that repeated limits, next the position
	// of the first one that it repeated.
	refreshed time.Time
	next      int
	// avoided counts the choices that a limit changed.
	avoided uint64
}

// ObserveLimit records what the answer to a dispatched job says of the limit of its
// upstream, and reports whether that is news.
func (s *Scheduler) ObserveLimit(job uint64, r ward.RateLimit, now time.Time) (LimitChange, bool) {
	j := s.jobs[job]
	if j == nil {
		return LimitChange{}, false
	}
	id := IdentityOf(&j.upstream.Replica)
	if s.statements[id] == nil && !r.Limited {
		return LimitChange{}, false
	}
	return s.changeLimit(id, func(l *limit.Limit) bool { return l.Observe(r, j.sent, now) }, now)
}

// LearnLimits records the limits that another entry reports, and returns those that are
// news.
func (s *Scheduler) LearnLimits(list []LimitReport, now time.Time) []LimitChange {
	s.init()
	var news []LimitChange
	for _, r := range list[:min(len(list), maxLimitNews+maxLimitRefresh)] {
		if s.statements[r.Upstream] == nil && r.State.Version == 0 {
			continue
		}
		if c, ok := s.changeLimit(r.Upstream, func(l *limit.Limit) bool { return l.Merge(r.State, now) }, now); ok {
			news = append(news, c)
		}
	}
	return news
}

// changeLimit applies change to the limit of a process.
func (s *Scheduler) changeLimit(id Identity, change func(l *limit.Limit) bool, now time.Time) (LimitChange, bool) {
	st := s.statement(id)
	_, before := st.limit.State()
	if !change(&st.limit) {
		return LimitChange{}, false
	}
	s.noteLimit(id, st)
	if s.limits.changed == nil {
		s.limits.changed = make(map[Identity]time.Time)
	}
	s.limits.changed[id] = now
	s.divideLimits(now)
	c := LimitChange{LimitReport: newLimitReport(id, st)}
	if !before.IsZero() {
		c.Age = now.Sub(before)
	}
	return c, true
}

func newLimitReport(id Identity, st *statement) LimitReport {
	r := LimitReport{Upstream: id}
	r.State, _ = st.limit.State()
	return r
}

// noteLimit keeps the statement of a registered process that has named a limit.
func (s *Scheduler) noteLimit(id Identity, st *statement) {
	if state, _ := st.limit.State(); state.Version == 0 {
		return
	}
	if u := s.byID[id.ID]; u == nil || u.Born != id.Born {
		return
	}
	if s.limits.known == nil {
		s.limits.known = make(map[Identity]*statement)
	}
	s.limits.known[id] = st
}

// keepLimits forgets the limits of processes that are not registered any more, and
// recalls those of processes that are registered again.
func (s *Scheduler) keepLimits(now time.Time) {
	clear(s.limits.known)
	for id, u := range s.byID {
		if u.said != nil {
			s.noteLimit(Identity{ID: id, Born: u.Born}, u.said)
		}
	}
	maps.DeleteFunc(s.limits.changed, func(id Identity, _ time.Time) bool { return s.limits.known[id] == nil })
	s.divideLimits(now)
}

// hearPeer records that a peer was heard.
func (s *Scheduler) hearPeer(name string, now time.Time) {
	if s.limits.heard == nil {
		s.limits.heard = make(map[string]time.Time)
	}
	s.limits.heard[name] = now
	s.forgetPeers(now)
}

// forgetPeers drops the peers that were not heard for memberTTL.
func (s *Scheduler) forgetPeers(now time.Time) {
	maps.DeleteFunc(s.limits.heard, func(_ string, at time.Time) bool { return now.Sub(at) > memberTTL })
}

// updateLimitFleet divides the limits anew if the entries have changed that may hold them.
func (s *Scheduler) updateLimitFleet(now time.Time) {
	if len(s.limits.known) == 0 && s.cold.rated == 0 {
		return
	}
	f := s.limitFleet(now)
	names := strings.Join(f.Entries, " ")
	if f.Known != s.limits.fleet.Known || names != s.limits.fleetNames {
		s.divideLimits(now)
	}
	if s.cold.rated == 0 {
		return
	}
	f = s.coldFleet(now)
	if names = strings.Join(f.Entries, " "); f.Known != s.cold.known || names != s.cold.names {
		s.cold.known, s.cold.names = f.Known, names
		s.divideCold(now)
	}
}

// limitFleet returns the entries that divide limits: those that are heard and do not stop,
// or in a fleet that is divided into cells all that are listed.
func (s *Scheduler) limitFleet(now time.Time) limit.Fleet {
	if s.Cells > 0 {
		return limit.Fleet{Self: s.Name, Entries: s.Fleet, Known: len(s.Fleet), LeastHolders: leastUnheardHolders}
	}
	f := s.heardFleet(now)
	f.Known = max(len(s.limits.heard)+1, len(s.Fleet))
	return f
}

// heardFleet returns the entries of this cell that are heard and do not stop, or all that
// are heard if all stop.
func (s *Scheduler) heardFleet(now time.Time) limit.Fleet {
	f := limit.Fleet{Self: s.Name}
	for _, name := range s.entries {
		stops := name == s.Name && !s.stopEnd.IsZero()
		if p := s.peers[name]; p != nil && p.state.Leaving {
			stops = true
		}
		if !stops {
			f.Entries = append(f.Entries, name)
		}
	}
	if len(f.Entries) == 0 {
		f.Entries = slices.Clone(s.entries)
	}
	s.forgetPeers(now)
	return f
}

// divideLimits sets this entry's part of each limit. In a fleet that is divided into cells
// an entry also uses the upstreams of other cells whose limits it holds.
func (s *Scheduler) divideLimits(now time.Time) {
	if len(s.limits.known) == 0 {
		return
	}
	f := s.limitFleet(now)
	s.limits.fleet, s.limits.fleetNames = f, strings.Join(f.Entries, " ")
	for id, st := range s.limits.known {
		part := 0.0
		if state, _ := st.limit.State(); state.Limited {
			part = f.Part(id.ID, state.PerSecond)
		}
		st.limit.SetPart(part, now)
	}
	if s.Cells > 0 {
		s.groupUpstreams(now)
	}
}

// heldElsewhere returns the upstreams among all of a service that are not in use by this
// entry's cell and whose limits this entry holds a part of.
func (s *Scheduler) heldElsewhere(all, own []*upstream, now time.Time) []*upstream {
	var list []*upstream
	for _, u := range all {
		u.held = u.limited() && !slices.Contains(own, u)
		if _, ok := u.limitWait(now); u.held && ok {
			list = append(list, u)
		}
	}
	return list
}

// limited reports whether the upstream has named a limit.
func (u *upstream) limited() bool { return u.said != nil && u.said.limit.Limited() }

// paced reports whether the upstream has named a limit or is cold.
func (u *upstream) paced(now time.Time) bool { return u.said != nil && u.said.limit.Paced(now) }

// limitAllows reports whether its limit lets this entry send a request to u.
func (u *upstream) limitAllows(now time.Time) bool {
	return !u.paced(now) || u.said.limit.Allows(now)
}

// limitWait returns the time until its limit lets this entry send a request to u. It
// reports false if this entry holds no part of it.
func (u *upstream) limitWait(now time.Time) (time.Duration, bool) {
	if !u.paced(now) {
		return 0, true
	}
	return u.said.limit.Wait(now)
}

// takeLimit counts a request to u.
func (u *upstream) takeLimit(now time.Time) {
	if u.paced(now) {
		u.said.limit.Take(now)
	}
}

// grantLimits grants permits of the limits of a service's upstreams to peers whose waiting
// requests precede the own ones. Without it, those of the holders would be served before
// requests of a higher rank at other entries.
func (s *Scheduler) grantLimits(v *service, now time.Time) []Action {
	if len(s.limits.known) == 0 && s.cold.rated == 0 {
		return nil
	}
	var out []Action
	for _, u := range v.upstreams {
		for u.paced(now) && u.grantable(now) {
			a, ok := s.grantFirst(v, u, now)
			if !ok {
				break
			}
			out = append(out, a)
		}
	}
	return out
}

// keepsForTrial reports whether this entry uses its part of u's limit only itself: at a low
// limit a grant that is lost, or comes too late, would cost the only trial for seconds. An
// entry without requests of its own grants it.
func (v *service) keepsForTrial(u *upstream, now time.Time) bool {
	return u.limited() && u.said.limit.Part()*limitTrialInterval.Seconds() < 1 && now.Sub(v.lastDeparture) < limitTrialInterval
}

// allLimited reports whether each upstream of the service that does not drain has named a
// limit or is cold.
func (v *service) allLimited(now time.Time) bool {
	n := 0
	for _, u := range v.upstreams {
		if u.Draining {
			continue
		}
		if !u.paced(now) {
			return false
		}
		n++
	}
	return n > 0
}

// limitRate is the sum of the limits of a service's upstreams, in requests a second, 0 if
// at least one has none.
func (v *service) limitRate(now time.Time) float64 {
	if !v.allLimited(now) {
		return 0
	}
	sum := 0.0
	for _, u := range v.upstreams {
		if !u.Draining {
			sum += u.pacedRate(now)
		}
	}
	return sum
}

// pacedRate is the rate, in requests a second, of an upstream that has named a limit or is
// cold: the lower one.
func (u *upstream) pacedRate(now time.Time) float64 {
	state, _ := u.said.limit.State()
	if cold := u.isCold(now); cold && (!state.Limited || u.ColdRate < state.PerSecond) {
		return u.ColdRate
	}
	return state.PerSecond
}

// demandAhead counts the requests that wait at peers and precede j.
func (s *Scheduler) demandAhead(v *service, j *Job, now time.Time) int {
	n := 0
	for _, p := range s.peers {
		age := now.Sub(p.lastUpdate)
		if age > maxDemandAge {
			continue
		}
		for i := range p.state.Demand {
			if d := &p.state.Demand[i]; d.Service == v.name && s.demandPrecedes(d, v, j, age, now) {
				n += d.Count
			}
		}
	}
	return n
}

// LimitAllows reports whether this entry may send a request to an upstream of a group now
// as far as limits are concerned.
func (s *Scheduler) LimitAllows(group string, now time.Time) bool {
	v := s.services[group]
	if v == nil || !v.allLimited(now) {
		return true
	}
	return slices.ContainsFunc(v.upstreams, func(u *upstream) bool { return !u.Draining && u.limitAllows(now) })
}

// Limited returns the number of registered upstreams that have a limit, and that of the
// choices that a limit changed.
func (s *Scheduler) Limited() (upstreams int, avoided uint64) {
	for _, st := range s.limits.known {
		if st.limit.Limited() {
			upstreams++
		}
	}
	return upstreams, s.limits.avoided
}

// LimitNews returns the limits to report to the peers: those that have changed lately, and
// every limitRefreshInterval some of all.
func (s *Scheduler) LimitNews(now time.Time) []LimitReport {
	var list []LimitReport
	for id, at := range s.limits.changed {
		if st := s.limits.known[id]; st != nil && now.Sub(at) <= limitNewsTime && len(list) < maxLimitNews {
			list = append(list, newLimitReport(id, st))
		}
	}
	if now.Sub(s.limits.refreshed) >= limitRefreshInterval {
		s.limits.refreshed = now
		list = append(list, s.LimitReports()...)
	}
	return list
}

// LimitReports returns some of the known limits, at each call the next ones.
func (s *Scheduler) LimitReports() []LimitReport {
	n := len(s.limits.known)
	if n == 0 {
		return nil
	}
	ids := slices.SortedFunc(maps.Keys(s.limits.known), func(a, b Identity) int { return cmp.Compare(a.ID, b.ID) })
	list := make([]LimitReport, min(maxLimitRefresh, n))
	for i := range list {
		id := ids[(s.limits.next+i)%n]
		list[i] = newLimitReport(id, s.limits.known[id])
	}
	s.limits.next = (s.limits.next + len(list)) % n
	return list
}
