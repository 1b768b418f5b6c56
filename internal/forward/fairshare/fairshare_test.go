package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Unix(1000, 0)

func key(team string) Key { return Key{Service: "menus", Team: team} }

// TestOver guards against teams that are slowed although nobody lacks their capacity, and
// against floods that go unnoticed.
func TestOver(t *testing.T) {
	type use struct {
		team                         string
		weight, asked, given, lacked float64
	}
	tests := []struct {
		name string
		uses []use
		over string // the teams over their share
	}{
		{"alone", []use{{"a", 0, 100, 20, 80}}, ""},
		{"nobody lacks anything", []use{{"a", 0, 90, 90, 0}, {"b", 0, 10, 10, 0}}, ""},
		{"the one that floods", []use{{"a", 0, 400, 90, 310}, {"b", 0, 20, 10, 10}}, "a"},
		{"unused share is used by others", []use{{"a", 0, 400, 90, 310}, {"b", 0, 10, 10, 0}}, ""},
		{"a share is asked for again", []use{{"a", 0, 400, 90, 310}, {"b", 0, 0.4, 0, 0}}, "a"},
		{"both flood, equal parts", []use{{"a", 0, 400, 50, 350}, {"b", 0, 800, 50, 750}}, ""},
		{"both flood, equal parts of unequal weights", []use{{"a", 3, 400, 50, 350}, {"b", 1, 800, 50, 750}}, "b"},
		{"weights do not count if one has none", []use{{"a", 3, 400, 75, 325}, {"b", 0, 800, 25, 775}}, "a"},
		{"neighbours of a flood are within", []use{{"a", 0, 400, 60, 340}, {"b", 0, 30, 20, 10}, {"c", 0, 30, 20, 10}}, "a"},
		{"another rank is no matter", []use{{"a", 0, 400, 60, 340}}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l Ledger
			l.Ask(Key{Service: "menus", Rank: [2]int{0, 1}, Team: "other"}, 0, 50, begin)
			for _, u := range tt.uses {
				l.Ask(key(u.team), u.weight, u.asked, begin)
				l.Give(key(u.team), u.given, begin)
				l.Lack(key(u.team), u.lacked, begin)
			}
			got := ""
			for _, u := range tt.uses {
				if l.Over(key(u.team), begin) {
					got += u.team
				}
			}
			if got != tt.over {
				t.Errorf("over their share: %q, want %q", got, tt.over)
			}
		})
	}
}

// TestChanges guards against a line for each turn that two flooding teams take.
func TestChanges(t *testing.T) {
	var l Ledger
	now, lines := begin, 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		for i, team := range []string{"a", "b"} {
			l.Ask(key(team), 0, 4, now)
			l.Lack(key(team), 3, now)
			if !l.Over(key(team), now) {
				l.Give(key(team), float64(1+i), now)
			}
		}
		lines += len(l.Changes(now))
	}
	if lines < 1 || lines > 2 {
		t.Errorf("%d changes while two teams flood, want one for each at most", lines)
	}
	lines = 0
	for range 60 {
		now = now.Add(500 * time.Millisecond)
		for _, c := range l.Changes(now) {
			if c.Over {
				t.Errorf("%q is over its share after its requests ended", c.Team)
			}
			lines++
		}
	}
	if lines == 0 {
		t.Error("no change is reported after the flood")
	}
}

// weights holds the weights of the teams of rank 1; those of rank 0 have none.
var weights = map[string]float64{"a": 1, "b": 2, "c": 5, "d": 9}

// fleet is a generated fleet of ledgers that exchange rows.
type fleet struct {
	*rapid.T
	ledgers []*Ledger
	now     time.Time
}

func (f *fleet) use(i int) {
	k := Key{Service: "menus", Rank: [2]int{0, rapid.IntRange(0, 1).Draw(f.T, "rank")}, Team: rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(f.T, "team")}
	seconds := rapid.Float64Range(0.01, 20).Draw(f.T, "seconds")
	// Teams have their weight in common, as it comes from the configuration.
	f.ledgers[i].Ask(k, weights[k.Team]*float64(k.Rank[1]), seconds, f.now)
	switch rapid.IntRange(0, 2).Draw(f.T, "end") {
	case 0:
		f.ledgers[i].Give(k, seconds, f.now)
	case 1:
		f.ledgers[i].Lack(k, seconds, f.now)
	}
}

// send delivers the rows of an entry to others: not at all, once or twice, in any order.
func (f *fleet) send(i int, rows []Row) {
	first := rapid.IntRange(0, len(f.ledgers)-1).Draw(f.T, "first receiver")
	for k := first; k < min(first+12, len(f.ledgers)); k++ {
		for range rapid.IntRange(0, 2).Draw(f.T, "copies") {
			if k != i {
				f.ledgers[k].UpdatePeer(fmt.Sprint(i), rows, f.now)
			}
		}
	}
}

// check checks the shares that an entry computes.
func (f *fleet) check(l *Ledger) {
	f.Helper()
	l.compute(f.now)
	groups := make(map[group][]*state)
	for k, t := range l.states {
		groups[group{k.Service, k.Rank}] = append(groups[group{k.Service, k.Rank}], t)
	}
	for g, teams := range groups {
		share, given, weight := 0.0, 0.0, 0.0
		for _, t := range teams {
			share, given, weight = share+t.share, given+t.given, weight+t.weight
		}
		if math.Abs(share-given) > 1e-6*(1+given) {
			f.Fatalf("%v: the shares add up to %v of %v", g, share, given)
		}
		for _, t := range teams {
			if least := min(t.demand(), given*t.weight/weight); t.share < least-1e-6*(1+given) || t.share > t.demand()+1e-6 {
				f.Fatalf("%v: a team with a demand of %v has %v, its part is %v", g, t.demand(), t.share, given*t.weight/weight)
			}
			if t.over && (t.given <= lowUse*t.share || len(teams) == 1) {
				f.Fatalf("%v: a team is over its share of %v with %v of %d teams", g, t.share, t.given, len(teams))
			}
		}
	}
}

// TestShares guards against shares that do not add up, teams without theirs and state that
// stays, in fleets of 1 to 400 entries with messages lost, late, doubled and out of order,
// restarted and added entries.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{T: t, now: begin, ledgers: make([]*Ledger, rapid.IntRange(1, 400).Draw(t, "entries"))}
		for i := range f.ledgers {
			f.ledgers[i] = &Ledger{}
		}
		sent := make(map[int][]Row)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			i := rapid.IntRange(0, len(f.ledgers)-1).Draw(t, "entry")
			switch rapid.SampledFrom([]string{"use", "use", "use", "send", "send", "again", "restart", "add", "wait"}).Draw(t, "event") {
			case "use":
				f.use(i)
			case "send":
				sent[i] = f.ledgers[i].Rows(f.now)
				f.send(i, sent[i])
			case "again":
				f.send(i, sent[i])
			case "restart":
				f.ledgers[i] = &Ledger{}
			case "add":
				f.ledgers = append(f.ledgers, &Ledger{})
			case "wait":
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			}
			f.now = f.now.Add(levelInterval)
			f.check(f.ledgers[i%len(f.ledgers)])
		}
		f.now = f.now.Add(idleTime + time.Second)
		for i, l := range f.ledgers {
			l.Changes(f.now)
			l.computed = time.Time{}
			l.Changes(f.now)
			if len(l.Rows(f.now)) > 0 || len(l.own)+len(l.peers)+len(l.states) > 0 || l.anyOver {
				t.Fatalf("entry %d still holds %d own sums, %d peers, %d teams", i, len(l.own), len(l.peers), len(l.states))
			}
		}
	})
}

// TestRows guards against messages that grow with the number of teams, and rows of peers
// that make shares no numbers.
func TestRows(t *testing.T) {
	var l Ledger
	for i := range 3000 {
		l.Ask(key(fmt.Sprint(i)), 0, float64(i), begin)
	}
	rows := l.Rows(begin)
	if len(rows) != MaxRows || rows[0].Asked != maxTeams-1 {
		t.Errorf("%d rows, the first with %v; want %d, the largest first", len(rows), rows[0].Asked, MaxRows)
	}
	var m Ledger
	m.UpdatePeer("p", []Row{{Asked: float32(math.NaN())}, {Given: -1}, {Weight: float32(math.Inf(1))}, {Lacked: 1e30}, {Team: "a", Asked: 1}}, begin)
	m.compute(begin)
	if len(m.states) != 1 {
		t.Errorf("%d teams are known, want that of the valid row", len(m.states))
	}
}

// BenchmarkOver measures the decisions of an entry of a full cell with 64 teams: each 20 ms
// one computes the shares anew, the others look the result up.
func BenchmarkOver(b *testing.B) {
	for _, step := range []time.Duration{0, levelInterval} {
		b.Run(fmt.Sprint("every ", step), func(b *testing.B) {
			var l Ledger
			now := begin
			rows := make([]Row, MaxRows)
			for i := range rows {
				rows[i] = Row{Service: "menus", Team: fmt.Sprint("team-", i), Asked: 4, Given: 3, Lacked: 1}
			}
			k := key("team-1")
			for i := 0; b.Loop(); i++ {
				now = now.Add(step)
				if i%50 == 0 {
					for p := range 11 {
						l.UpdatePeer(fmt.Sprint(p), rows, now)
					}
				}
				l.Over(k, now)
			}
		})
	}
}
