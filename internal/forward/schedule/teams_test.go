package schedule

import (
	"fmt"
	"testing"
	"time"

	"agateward/internal/forward/fairshare"
)

// teamLoad is the requests of a team: rate a second, as a part of what the upstreams carry.
type teamLoad struct {
	team     string
	part     float64
	from, to time.Duration
	// entries is the number of entries that get the requests, 0 for all.
	entries int
	// prompt and output are the mean sizes in tokens; 0 means those of arrive's rank 0.
	prompt, output float64
	// ranks is true if the requests have the route ranks of arrive.
	ranks  bool
	weight float64
}

// teamCapacity is the engine time a second that 10 engines of 6 slots serve, by
// TestTeamCapacity.
const teamCapacity = 56.0

// loadTeam generates the requests of a team.
func (sim *simulation) loadTeam(l teamLoad) {
	if l.prompt == 0 {
		l.prompt, l.output = 3700, 120
	}
	work := firstBase + firstPerToken*l.prompt + perToken*l.output
	rate := l.part * teamCapacity / work
	n := l.entries
	if n == 0 {
		n = len(sim.entries)
	}
	for at := l.from; at < l.to; {
		at += time.Duration(sim.r.ExpFloat64() / rate * float64(time.Second))
		i := sim.r.IntN(n)
		sim.after(at, func(time.Time) { sim.whenAwake(i, func(time.Time) { sim.arriveTeam(i, l) }) })
	}
}

func (sim *simulation) arriveTeam(i int, l teamLoad) {
	sim.ids++
	rank := 0
	if l.ranks {
		rank = sim.r.IntN(3)
	}
	j := job(sim.ids, rank, sim.now)
	j.Team, j.Weight = l.team, l.weight
	j.Prompt = int(min(sim.r.ExpFloat64()*l.prompt, 5*l.prompt))
	j.Output = 1 + int(min(sim.r.ExpFloat64()*l.output, 5*l.output))
	sim.counts.requests[rank]++
	sim.counts.team(l.team).requests++
	sim.execute(i, sim.entries[i].Arrive(j, sim.now))
}

func (t *teamCounts) onTimeShare() float64 { return float64(t.onTime) / float64(max(t.requests, 1)) }

// runTeams runs the loads before ten upstreams and 6 entries, with or without fair shares.
func runTeams(seed uint64, fair bool, loads []teamLoad, prepare func(sim *simulation)) *simulation {
	sim := newSimulation(6, 10, 6, seed)
	for _, s := range sim.entries {
		s.Options.FairTeams = fair
	}
	if prepare != nil {
		prepare(sim)
	}
	for _, l := range loads {
		sim.loadTeam(l)
	}
	sim.run(24 * time.Second)
	return sim
}

// flood returns the loads of a team that asks for times its equal share from 4 s on, and of
// neighbours that ask for a fifth and a tenth of what the upstreams carry.
func flood(teams int, times float64, entries int) []teamLoad {
	const end = 20 * time.Second
	share := times / float64(teams)
	if teams == 2 {
		return []teamLoad{
			{team: "flood", part: share, from: 4 * time.Second, to: end, entries: entries},
			{team: "fifth", part: 0.2, to: end},
		}
	}
	list := []teamLoad{{team: "flood", part: share, from: 4 * time.Second, to: end, entries: entries}}
	for i, part := range []float64{0.2, 0.1, 0.1, 0.1}[:teams-1] {
		list = append(list, teamLoad{team: fmt.Sprintf("team-%d", i), part: part, to: end})
	}
	return list
}

// Guards against a team that sends several times its share and takes the capacity of teams
// that ask for little: their requests waited behind its own.
func TestFloodedTeams(t *testing.T) {
	t.Parallel()
	for _, teams := range []int{2, 5} {
		for _, times := range []float64{2, 4, 8} {
			for _, entries := range []int{0, 1, 2} {
				t.Run(fmt.Sprintf("%d teams, %g times, %d entries", teams, times, entries), func(t *testing.T) {
					var goodput [2]float64
					for i, fair := range []bool{false, true} {
						sim := runTeams(1, fair, flood(teams, times, entries), nil)
						line := ""
						for _, l := range flood(teams, times, entries) {
							c := sim.counts.team(l.team)
							line += fmt.Sprintf(" %s %.3f", l.team, c.onTimeShare())
							goodput[i] += c.work
							if fair && l.team != "flood" && c.onTimeShare() < 0.95 {
								t.Errorf("%s: %.3f of the requests in time, want 0.95", l.team, c.onTimeShare())
							}
						}
						t.Logf("fair %v:%s; goodput %.0f; waited in an engine %d of %d", fair, line, goodput[i], sim.counts.waited, sim.counts.sent)
					}
					if goodput[1] < 0.98*goodput[0] {
						t.Errorf("goodput fell from %.0f to %.0f", goodput[0], goodput[1])
					}
				})
			}
		}
	}
}

// Guards against shares by the number of requests, by which a team with few long prompts
// gets more than one with many short ones. Some long prompts are late on slow upstreams also
// without a flood, so a team's results are compared with those it has alone.
func TestLongAndShortPrompts(t *testing.T) {
	const end = 20 * time.Second
	load := map[string]teamLoad{
		"long":  {team: "long", to: end, prompt: 12000, output: 200},
		"short": {team: "short", to: end, prompt: 300, output: 30},
	}
	for _, tt := range []struct{ flooding, other string }{{"long", "short"}, {"short", "long"}} {
		flooding, other := load[tt.flooding], load[tt.other]
		flooding.part, other.part = 3, 0.3
		alone := runTeams(2, true, []teamLoad{other}, nil).counts.team(tt.other).onTimeShare()
		var onTime [2]float64
		for i, fair := range []bool{false, true} {
			sim := runTeams(2, fair, []teamLoad{flooding, other}, nil)
			onTime[i] = sim.counts.team(tt.other).onTimeShare()
		}
		t.Logf("%s floods: %s %.3f without and %.3f with fair shares, alone %.3f", tt.flooding, tt.other, onTime[0], onTime[1], alone)
		if onTime[1] < 0.95*alone {
			t.Errorf("%s floods: %.3f of the other team's requests in time, want 0.95 of %.3f", tt.flooding, onTime[1], alone)
		}
	}
}

// Guards against two teams that flood and do not get what their weights say.
func TestWeightsOfFloodingTeams(t *testing.T) {
	loads := []teamLoad{
		{team: "three", part: 2, to: 20 * time.Second, weight: 3000},
		{team: "one", part: 2, to: 20 * time.Second, weight: 1000},
	}
	sim := runTeams(3, true, loads, nil)
	three, one := sim.counts.team("three").work, sim.counts.team("one").work
	t.Logf("engine time of requests in time: %.0f and %.0f", three, one)
	if r := three / one; r < 2.2 || r > 3.8 {
		t.Errorf("the teams got %.0f and %.0f, want about 3 to 1", three, one)
	}
}

// Guards against a share that stays unused while its team asks for nothing, and against one
// that comes back late.
func TestShareThatIsNotAskedFor(t *testing.T) {
	loads := []teamLoad{
		{team: "flood", part: 3, to: 20 * time.Second},
		{team: "comes", part: 0.3, from: 8 * time.Second, to: 20 * time.Second},
	}
	sim := runTeams(4, true, loads, func(sim *simulation) {
		sim.after(8*time.Second, func(time.Time) {
			work := sim.counts.team("flood").work
			t.Logf("engine time of the flooding team alone in 8 s: %.0f", work)
			if work < 0.9*teamCapacity*8 {
				t.Errorf("the flooding team alone got %.0f in 8 s, the upstreams carry %.0f", work, teamCapacity*8)
			}
		})
		sim.after(9500*time.Millisecond, func(time.Time) {
			// The requests of the last 600 ms may still be in time.
			c := sim.counts.team("comes")
			missed := c.late + c.refused
			t.Logf("1.5 s after the team's first request: %d, in time %d, missed %d", c.requests, c.onTime, missed)
			if missed > c.requests/10 {
				t.Errorf("%d of %d requests of the first 1.5 s are late or refused", missed, c.requests)
			}
		})
	})
	if c := sim.counts.team("comes"); c.onTimeShare() < 0.95 {
		t.Errorf("%.3f of the requests of the team that came in time, want 0.95", c.onTimeShare())
	}
}

// lossy returns a preparation by which messages are lost, doubled and late.
func lossy(loss, double float64, delay time.Duration) func(sim *simulation) {
	return func(sim *simulation) {
		sim.deliver = func(int, int) []time.Duration {
			late := func() time.Duration { return hopDelay + time.Duration(sim.r.Float64()*float64(delay)) }
			switch x := sim.r.Float64(); {
			case x < loss:
				return nil
			case x < loss+double:
				return []time.Duration{late(), late()}
			}
			return []time.Duration{late()}
		}
	}
}

// partitioned cuts entries 0 to 2 off from the others for a time.
func partitioned(sim *simulation) {
	sim.deliver = func(from, to int) []time.Duration {
		if d := sim.now.Sub(start); d >= partitionFrom && d < partitionTo && (from < 3) != (to < 3) {
			return nil
		}
		return []time.Duration{hopDelay}
	}
}

const partitionFrom, partitionTo = 8 * time.Second, 14 * time.Second

// Guards against neighbours that starve while messages are lost, late or doubled, and when
// an entry starts anew.
func TestFairSharesUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(sim *simulation)
	}{
		{"a tenth lost, a tenth doubled, up to 100 ms late", lossy(0.1, 0.1, 100*time.Millisecond)},
		{"a third lost, a fifth doubled, up to 300 ms late", lossy(0.33, 0.2, 300*time.Millisecond)},
		{"an entry loses its state", func(sim *simulation) {
			sim.after(10*time.Second, func(time.Time) { sim.entries[0].teams = fairshare.Ledger{} })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var onTime, goodput [2]float64
			for i, fair := range []bool{false, true} {
				sim := runTeams(5, fair, flood(2, 4, 0), tt.prepare)
				onTime[i] = sim.counts.team("fifth").onTimeShare()
				goodput[i] = sim.counts.team("fifth").work + sim.counts.team("flood").work
			}
			t.Logf("neighbour in time %.3f without, %.3f with fair shares; goodput %.0f and %.0f", onTime[0], onTime[1], goodput[0], goodput[1])
			if onTime[1] < 0.95 {
				t.Errorf("%.3f in time, want 0.95", onTime[1])
			}
		})
	}
}

// Guards against unfair shares on a side of a partition, and after its end. Both sides send
// to all slots meanwhile, so requests wait inside the engines and are late whatever their
// team; so neighbours are compared with the flooding team then.
func TestFairSharesInPartition(t *testing.T) {
	var during, after [2]teamCounts
	sim := runTeams(5, true, flood(2, 4, 0), func(sim *simulation) {
		snap := func(d time.Duration, sign int) {
			sim.after(d, func(time.Time) {
				for i, team := range []string{"fifth", "flood"} {
					c := sim.counts.team(team)
					during[i].requests += sign * c.requests
					during[i].onTime += sign * c.onTime
				}
			})
		}
		snap(partitionFrom+2*time.Second, -1)
		snap(partitionTo, 1)
		sim.after(partitionTo+2*time.Second, func(time.Time) {
			for i, team := range []string{"fifth", "flood"} {
				after[i] = *sim.counts.team(team)
			}
		})
		partitioned(sim)
	})
	for i, team := range []string{"fifth", "flood"} {
		c := sim.counts.team(team)
		after[i].requests, after[i].onTime = c.requests-after[i].requests, c.onTime-after[i].onTime
	}
	t.Logf("in time during the partition: neighbour %.3f, flooding team %.3f; after it %.3f, %.3f",
		during[0].onTimeShare(), during[1].onTimeShare(), after[0].onTimeShare(), after[1].onTimeShare())
	if during[0].onTimeShare() < 1.5*during[1].onTimeShare() {
		t.Error("the neighbour is served no better than the flooding team during the partition")
	}
	if after[0].onTimeShare() < 0.95 {
		t.Errorf("%.3f of the neighbour's requests in time after the partition, want 0.95", after[0].onTimeShare())
	}
}
