package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// trace runs a generated schedule and returns the decisions of all entries, in order, up to
// the first one of an entry that knows a team over its share, and whether there was one.
func trace(seed uint64, fair bool, teams int) (decisions []string, over bool) {
	r := rand.New(rand.NewPCG(seed, 11))
	sim := newSimulation(1+r.IntN(12), 2+r.IntN(9), 2+r.IntN(5), seed)
	loss := 0.3 * r.Float64()
	sim.deliver = func(int, int) []time.Duration {
		if sim.r.Float64() < loss {
			return nil
		}
		return []time.Duration{hopDelay + time.Duration(sim.r.Float64()*0.1*float64(time.Second))}
	}
	for _, s := range sim.entries {
		s.Options.FairTeams = fair
	}
	sim.decided = func(i int, actions []Action) {
		over = over || sim.entries[i].teams.AnyOver(sim.now)
		if over {
			return
		}
		for _, a := range actions {
			line := fmt.Sprint(sim.now.Sub(start), " ", i, " ", a.GrantTo, a.Reason, a.RetryAfter, a.Queued)
			if a.Job != nil {
				line += fmt.Sprint(" job ", a.Job.ID)
			}
			if a.Upstream != nil {
				line += " " + a.Upstream.ID
			}
			decisions = append(decisions, line)
		}
	}
	part := (0.3 + 1.5*r.Float64()) * float64(len(sim.engines)*sim.slots) / 60
	for t := range teams {
		l := teamLoad{team: fmt.Sprint("team-", t), part: part * (0.2 + r.Float64()) / float64(teams), to: 5 * time.Second, ranks: r.IntN(2) == 0, weight: float64(r.IntN(3))}
		sim.loadTeam(l)
	}
	sim.run(7 * time.Second)
	return decisions, over
}

// Guards against decisions that differ from those without fair shares while no team is over
// its share.
func TestDecisionsWithoutTeamOverShare(t *testing.T) {
	compared, over := 0, 0
	for seed := range uint64(60) {
		teams := 1 + int(seed%5)
		with, o := trace(seed, true, teams)
		without, _ := trace(seed, false, teams)
		if teams == 1 && (o || len(with) != len(without)) {
			t.Fatalf("seed %d: a team alone is over its share (%v), or %d decisions are made, %d without fair shares", seed, o, len(with), len(without))
		}
		for i, line := range with {
			if line != without[i] {
				t.Fatalf("seed %d: decision %d is %q, want %q", seed, i, line, without[i])
			}
		}
		compared += len(with)
		if o {
			over++
		}
	}
	t.Logf("%d decisions compared, a team was over its share in %d of 60 schedules", compared, over)
	if compared < 10_000 || over < 5 || over > 55 {
		t.Errorf("%d decisions compared, %d schedules with a team over its share: the schedules cover too little", compared, over)
	}
}
