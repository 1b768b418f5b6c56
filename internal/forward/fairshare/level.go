package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A team is over its share once it got more than that by minExcess, while the teams of the
// rank lacked more than the part overload of what they were given. It is within its share
// again once it got less than lowUse of it, or they lacked less than calm. What waits for a
// free slot has asked and was not given yet, so a lack shows in requests that were refused
// or are late, not in the difference of the two sums.
const (
	overload = 0.02
	calm     = 0.01
	lowUse   = 0.99
	// minExcess is in seconds of a slot, less than most requests take: a team that begins
	// to ask again gets its share at once.
	minExcess = 0.02
	// withinTime is how long a team is not over its share until that is reported. Two
	// teams that both ask for more than their share take turns within fractions of a
	// second.
	withinTime = 2 * time.Second
)

// state is what is known of a team over all entries that are heard.
type state struct {
	weight, asked, given, lacked, share float64
	over                                bool
	// overAt is when the team was last over its share. reported is true if it was last
	// reported as over.
	overAt   time.Time
	reported bool
}

// Change is a change of the state of a team. The sums are decayed seconds of a slot.
type Change struct {
	Key
	Over                        bool
	Asked, Given, Lacked, Share float64
	// Peers is the number of peers whose sums count.
	Peers int
}

// group is the teams of a rank that share the upstreams of a service.
type group struct {
	service string
	rank    [2]int
}

// Over reports whether a team got more than its share while others ask for more than they
// got.
func (l *Ledger) Over(k Key, now time.Time) bool {
	l.compute(now)
	if !l.anyOver {
		return false
	}
	t := l.states[k]
	return t != nil && t.over
}

// AnyOver reports whether any team is over its share.
func (l *Ledger) AnyOver(now time.Time) bool {
	l.compute(now)
	return l.anyOver
}

// Excess is the given engine time of a team as a multiple of its share if it is over it,
// else 0.
func (l *Ledger) Excess(k Key, now time.Time) float64 {
	if !l.Over(k, now) {
		return 0
	}
	return l.states[k].use()
}

// compute determines the states of all teams, at most every levelInterval.
func (l *Ledger) compute(now time.Time) {
	if !l.computed.IsZero() && now.Sub(l.computed) < levelInterval && !now.Before(l.computed) {
		return
	}
	l.computed = now
	l.drop(now)
	for _, t := range l.states {
		t.weight, t.asked, t.given, t.lacked, t.share = 0, 0, 0, 0, 0
	}
	for k, s := range l.own {
		s.decay(now)
		l.add(k, sum{weight: s.weight, asked: s.asked, given: s.given, lacked: s.lacked})
	}
	// In a fixed order, so that entries and tests get the same sums from the same rows.
	for _, name := range slices.Sorted(maps.Keys(l.peers)) {
		r := l.peers[name]
		f := decay(now.Sub(r.at))
		for _, row := range r.rows {
			l.add(Key{row.Service, row.Rank, row.Team}, sum{weight: float64(row.Weight), asked: f * float64(row.Asked), given: f * float64(row.Given), lacked: f * float64(row.Lacked)})
		}
	}
	groups := make(map[group][]*state)
	for _, k := range l.keys() {
		t := l.states[k]
		if t.asked == 0 && t.given == 0 {
			t.over = false
			if !t.reported {
				delete(l.states, k)
			}
			continue
		}
		g := group{k.Service, k.Rank}
		groups[g] = append(groups[g], t)
	}
	l.anyOver = false
	for _, teams := range groups {
		divide(teams, now)
		l.anyOver = l.anyOver || slices.ContainsFunc(teams, func(t *state) bool { return t.over })
	}
}

// add adds the sums of a team at one entry.
func (l *Ledger) add(k Key, s sum) {
	t := l.states[k]
	if t == nil {
		if l.states == nil {
			l.states = make(map[Key]*state)
		}
		t = &state{}
		l.states[k] = t
	}
	// Entries may still have different versions of the configuration.
	t.weight = max(t.weight, s.weight)
	t.asked += s.asked
	t.given += s.given
	t.lacked += s.lacked
}

// demand is the engine time that the team asked for. Requests that are given later than
// they asked have decayed less.
func (t *state) demand() float64 { return max(t.asked, t.given) }

// divide determines the shares of the teams of one rank, and which teams are over them.
func divide(teams []*state, now time.Time) {
	lacked, given := 0.0, 0.0
	weighted := true
	for _, t := range teams {
		lacked += t.lacked
		given += t.given
		weighted = weighted && t.weight > 0
	}
	if !weighted {
		for _, t := range teams {
			t.weight = 1
		}
	}
	fill(teams, given)
	for _, t := range teams {
		switch {
		case len(teams) == 1:
			t.over = false
		case t.over:
			t.over = lacked > calm*given && t.given > lowUse*t.share
		default:
			t.over = lacked > overload*given && t.given > t.share+minExcess
		}
		if t.over {
			t.overAt = now
		}
	}
}

// fill sets the shares: the teams' demands, each up to the water level times its weight,
// which add up to the total.
func fill(teams []*state, total float64) {
	slices.SortStableFunc(teams, func(a, b *state) int { return cmp.Compare(a.demand()/a.weight, b.demand()/b.weight) })
	weight := 0.0
	for _, t := range teams {
		weight += t.weight
	}
	for _, t := range teams {
		t.share = min(t.demand(), total*t.weight/weight)
		total = max(total-t.share, 0)
		weight -= t.weight
	}
}

// Changes returns the changes of the teams' states since the last call.
func (l *Ledger) Changes(now time.Time) []Change {
	l.compute(now)
	var list []Change
	for _, k := range l.keys() {
		t := l.states[k]
		over := t.over || t.reported && now.Sub(t.overAt) < withinTime
		if over != t.reported {
			t.reported = over
			list = append(list, Change{Key: k, Over: over, Asked: t.asked, Given: t.given, Lacked: t.lacked, Share: t.share, Peers: len(l.peers)})
		}
	}
	return list
}

// Teams returns the teams that are known, in order.
func (l *Ledger) Teams() []string {
	var list []string
	for k := range l.states {
		list = append(list, k.Team)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Use returns what a team was given as a multiple of its share, the highest of all services
// and ranks, 0 for an unknown team.
func (l *Ledger) Use(team string, now time.Time) float64 {
	l.compute(now)
	use := 0.0
	for k, t := range l.states {
		if k.Team == team {
			use = max(use, t.use())
		}
	}
	return use
}

// use is the given engine time as a multiple of the share.
func (t *state) use() float64 { return t.given / max(t.share, minExcess) }

// keys returns the keys of the teams in order.
func (l *Ledger) keys() []Key {
	return slices.SortedFunc(maps.Keys(l.states), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), slices.Compare(a.Rank[:], b.Rank[:]), cmp.Compare(a.Team, b.Team))
	})
}
