package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/ward"
)

// The platform tolerates a tenth of the quota and a fixed slack over a window of 8 s.
const (
	testWindow    = 8 * time.Second
	testOvershoot = 0.1
	testSlack     = 190_000
)

// fleet holds ledgers that exchange their totals.
type fleet struct {
	ledgers []*Ledger
	starts  []int64
	cut     []bool
	passed  []use
	team    ward.ForwardTeam
}

type use struct {
	at   time.Time
	size float64
}

func newFleet(n int) *fleet {
	f := &fleet{cut: make([]bool, n), starts: make([]int64, n), ledgers: make([]*Ledger, n)}
	f.team = ward.ForwardTeam{Name: "hosts", Rate: 100_000, Burst: 100_000, Tokens: true}
	for i := range n {
		f.restart(i, true)
	}
	return f
}

func (f *fleet) restart(i int, first bool) {
	f.ledgers[i] = &Ledger{Slack: 0.4 * testSlack, Entries: len(f.ledgers), StartFull: first}
	f.starts[i]++
}

func (f *fleet) exchange(now time.Time) {
	for i, from := range f.ledgers {
		for k, to := range f.ledgers {
			if i != k && !f.cut[i] && !f.cut[k] {
				to.UpdatePeer(fmt.Sprint(i), f.starts[i], from.Totals(), now)
				to.Inherit(from.Levels(now), now)
			}
		}
	}
}

// maxWindowUse returns the most units that passed in any window.
func (f *fleet) maxWindowUse() float64 {
	worst, sum, first := 0.0, 0.0, 0
	for _, u := range f.passed {
		sum += u.size
		for f.passed[first].at.Before(u.at.Add(-testWindow)) {
			sum -= f.passed[first].size
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

// TestTeamOverQuota sends four times a team's quota while entries are disconnected,
// killed one by one, or killed all at once.
func TestTeamOverQuota(t *testing.T) {
	cases := []struct {
		name   string
		during func(f *fleet, tick int)
		// served is the least fraction of the quota that has to pass.
		served float64
	}{
		{name: "calm", during: func(*fleet, int) {}, served: 0.95},
		{name: "a third cut off", during: func(f *fleet, tick int) {
			f.cut[0], f.cut[1] = tick > 300 && tick < 600, tick > 300 && tick < 600
		}, served: 0.8},
		{name: "all killed at once", during: func(f *fleet, tick int) {
			if tick == 400 {
				for i := range f.ledgers {
					f.restart(i, false)
				}
			}
		}, served: 0.85},
		{name: "one killed again and again", during: func(f *fleet, tick int) {
			if tick%100 == 99 {
				f.restart(2, false)
			}
		}, served: 0.85},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(7, 1))
			f := newFleet(6)
			start := time.Unix(1000, 0)
			const tick = 20 * time.Millisecond
			const ticks = 1200
			for i := range ticks {
				now := start.Add(time.Duration(i) * tick)
				c.during(f, i)
				if i%3 == 0 {
					f.exchange(now)
				}
				// Four times the quota, in requests of 500 to 10,000 tokens.
				for asked := 0.0; asked < 4*f.team.Rate*tick.Seconds(); {
					size := 500 + r.ExpFloat64()*4000
					asked += size
					if _, ok := f.ledgers[r.IntN(6)].Take(&f.team, Request{Size: size, Idle: i%2 == 0}, now); ok {
						f.passed = append(f.passed, use{now, size})
					}
				}
			}
			limit := (f.team.Rate*testWindow.Seconds()+f.team.Burst)*(1+testOvershoot) + testSlack
			if got := f.maxWindowUse(); got > limit {
				t.Errorf("%.0f tokens in %v, limit %.0f", got, testWindow, limit)
			}
			total := 0.0
			for _, u := range f.passed {
				total += u.size
			}
			if owed := c.served * f.team.Rate * ticks * tick.Seconds(); total < owed {
				t.Errorf("%.0f tokens passed, want %.0f", total, owed)
			}
		})
	}
}

// TestRestartsBelowQuota restarts all entries in turn, as a release does, while a
// team asks in waves for less than its quota: a restarted entry knows from its peers
// what is left, so few requests are refused.
func TestRestartsBelowQuota(t *testing.T) {
	const (
		tick    = 20 * time.Millisecond
		ticks   = 1500
		entries = 6
	)
	r := rand.New(rand.NewPCG(8, 1))
	f := newFleet(entries)
	start := time.Unix(1000, 0)
	asked, refused, due := 0.0, 0.0, 0.0
	for i := range ticks {
		now := start.Add(time.Duration(i) * tick)
		if i%50 == 49 {
			f.restart(i/50%entries, false)
		}
		if i%3 == 0 {
			f.exchange(now)
		}
		wave := 0.1 // of the quota, and 1.3 of it in each other second
		if i/50%2 == 0 {
			wave = 1.3
		}
		for due += wave * f.team.Rate * tick.Seconds(); due > 0; {
			size := 500 + r.ExpFloat64()*1500
			due -= size
			asked += size
			if _, ok := f.ledgers[r.IntN(entries)].Take(&f.team, Request{Size: size, Rank: r.IntN(3)}, now); !ok {
				refused += size
			}
		}
	}
	if refused > 0.01*asked {
		t.Errorf("%.0f of %.0f tokens refused below the quota", refused, asked)
	}
}

func TestLargeRequestsPass(t *testing.T) {
	l := Ledger{Entries: 1, StartFull: true}
	team := ward.ForwardTeam{Name: "hosts", Rate: 1000, Burst: 1000}
	now := time.Unix(1000, 0)
	if _, ok := l.Take(&team, Request{Size: 5000}, now); !ok {
		t.Fatal("a request larger than the burst is refused with a full bucket")
	}
	wait, ok := l.Take(&team, Request{Size: 10}, now)
	if ok || wait <= 0 {
		t.Fatalf("after that: passed %v, wait %v; want a refusal with a time to come back", ok, wait)
	}
	if wait < maxWait {
		t.Errorf("wait %v with a debt of 4 s", wait)
	}
	if _, ok := l.Take(&team, Request{Size: 10}, now.Add(wait+200*time.Millisecond)); !ok {
		t.Error("refused after the bucket was refilled")
	}
}

// TestPlainRequestsPassOverQuota checks that a team's small plain requests still pass
// when its model requests exhaust the quota.
func TestPlainRequestsPassOverQuota(t *testing.T) {
	l := Ledger{Entries: 1, StartFull: true}
	team := ward.ForwardTeam{Name: "hosts", Rate: 10_000, Burst: 10_000, Tokens: true, PlainTokens: 20}
	now := time.Unix(1000, 0)
	refused, plain := 0, 0
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := l.Take(&team, Request{Size: 400}, now); !ok {
			refused++
		}
		if _, ok := l.Take(&team, Request{Size: 20, Plain: true}, now); ok {
			plain++
		}
	}
	if refused < 250 {
		t.Fatalf("%d of 500 model requests were refused; the team is not over its quota", refused)
	}
	if plain < 490 {
		t.Errorf("%d of 500 plain requests passed", plain)
	}
}

// TestTeamBelowQuotaPassesAfterRestart checks that a team far below its quota is
// served at once after an entry was replaced or killed.
func TestTeamBelowQuotaPassesAfterRestart(t *testing.T) {
	l := Ledger{Entries: 8, Slack: 76_000}
	team := ward.ForwardTeam{Name: "hosts", Rate: 160_000, Burst: 160_000, Tokens: true}
	now := time.Unix(1000, 0)
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		if _, ok := l.Take(&team, Request{Size: 1000}, now); !ok {
			t.Fatal("refused after a restart")
		}
	}
}

// TestBeyondQuotaOnlyWhileIdle checks that a team over its quota gets the slack only
// while the upstreams are idle, so that it takes no capacity from other teams.
func TestBeyondQuotaOnlyWhileIdle(t *testing.T) {
	team := ward.ForwardTeam{Name: "hosts", Rate: 10_000, Burst: 10_000, Tokens: true}
	passed := func(idle bool) (sum float64) {
		l := Ledger{Entries: 1, Slack: 20_000, StartFull: true}
		for i := range 100 {
			if _, ok := l.Take(&team, Request{Size: 500, Idle: idle}, time.Unix(1000, 0).Add(time.Duration(i)*10*time.Millisecond)); ok {
				sum += 500
			}
		}
		return sum
	}
	if got := passed(false); got > 20_500 {
		t.Errorf("%.0f tokens passed in 1 s under load, quota 20000", got)
	}
	if got := passed(true); got < 35_000 {
		t.Errorf("%.0f tokens passed in 1 s while idle, want those of the slack too", got)
	}
}

// TestHigherRanksPassFirst checks that the quota of a team over its quota goes to its
// higher ranks.
func TestHigherRanksPassFirst(t *testing.T) {
	l := Ledger{Entries: 1, StartFull: true}
	team := ward.ForwardTeam{Name: "hosts", Rate: 10_000, Burst: 10_000, Tokens: true}
	now := time.Unix(1000, 0)
	passed := [3]int{}
	for i := range 3000 {
		now = now.Add(10 * time.Millisecond)
		if _, ok := l.Take(&team, Request{Size: 300, Rank: i % 3}, now); ok {
			passed[i%3]++
		}
	}
	if passed[0] < 980 || passed[2] > 50 {
		t.Errorf("passed by rank: %v of 1000 each; want rank 0 nearly whole and rank 2 refused first", passed)
	}
}

// Guards against entries that are cut off from each other spending the whole of a bucket,
// each of them.
func TestCutOffEntriesKeepToTheirShares(t *testing.T) {
	const n, tick = 4, 20 * time.Millisecond
	f := newFleet(n)
	start := time.Unix(1000, 0)
	sum := 0.0
	for i := range 50 {
		now := start.Add(time.Duration(i) * tick)
		if i == 0 {
			f.exchange(now)
		}
		for k := range 12 {
			if _, ok := f.ledgers[k%n].Take(&f.team, Request{Size: 1000}, now); ok {
				sum += 1000
			}
		}
	}
	// Burst and 1 s of the quota, and what each uses in 0.3 s before it notices the silence.
	if limit := 2*f.team.Rate + n*0.3*f.team.Rate; sum > limit {
		t.Errorf("%.0f tokens passed in 1 s, limit %.0f", sum, limit)
	}
}

// Guards against memory that grows with the names of teams that a peer invents.
func TestInventedTeamsAreBounded(t *testing.T) {
	var l Ledger
	for i := range 40 {
		levels := make(map[string]float64)
		for k := range 1000 {
			levels[fmt.Sprint("team-", i, "-", k)] = 1
		}
		l.Inherit(levels, time.Unix(int64(i), 0))
	}
	if n := len(l.buckets); n > maxInherited {
		t.Errorf("%d teams are kept, want at most %d", n, maxInherited)
	}
}
