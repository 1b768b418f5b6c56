package schedule

import (
	"fmt"
	"testing"
	"time"
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
