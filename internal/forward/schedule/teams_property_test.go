package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"agateward/internal/forward/fairshare"
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

// overSchedule returns a scheduler with one slot, in use, at which team "flood" is over its
// share and team "other" lacks its own.
func overSchedule(t *testing.T) *Scheduler {
	s := newScheduler("entry-1", engines(1, 1))
	s.Options.FairTeams = true
	dispatched(t, s.Arrive(teamJob(1, "other", 0, start), start))
	s.UpdatePeer("entry-2", PeerState{Teams: []fairshare.Row{
		{Service: "menus", Team: "flood", Asked: 100, Given: 20, Lacked: 80},
		{Service: "menus", Team: "other", Asked: 4, Given: 1, Lacked: 3},
	}}, start)
	return s
}

func teamJob(id uint64, team string, rank int, now time.Time) *Job {
	j := job(id, rank, now)
	j.Team = team
	return j
}

// Guards against jobs of a team within its share that are refused as a flooding team has
// filled the queue, and against displaced jobs of other ranks or teams.
func TestFullQueueDisplaces(t *testing.T) {
	tests := []struct {
		name      string
		waiting   string // team of the waiting jobs
		arriving  string
		rank      int // of the arriving job; the waiting ones have rank 0
		displaced bool
	}{
		{"a team within its share displaces one over it", "flood", "other", 0, true},
		{"a team over its share displaces none", "flood", "flood", 0, false},
		{"a team within its share displaces none within its own", "other", "other", 0, false},
		{"a lower rank displaces no higher one", "flood", "other", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := overSchedule(t)
			now := start.Add(20 * time.Millisecond)
			v := s.service("menus")
			for i := range maxQueue {
				j := teamJob(uint64(10+i), tt.waiting, 0, now)
				j.Due = now.Add(time.Duration(i) * time.Millisecond)
				v.queue = append(v.queue, j)
			}
			s.markTeams(v, now)
			last := v.queue[maxQueue-1].ID
			got := s.Arrive(teamJob(9, tt.arriving, tt.rank, now), now)
			if refused(got, last) != tt.displaced || refused(got, 9) == tt.displaced {
				t.Errorf("the last job is refused: %v, the arriving one: %v; want displaced %v", refused(got, last), refused(got, 9), tt.displaced)
			}
			if len(v.queue) > maxQueue {
				t.Errorf("%d jobs wait, at most %d may", len(v.queue), maxQueue)
			}
		})
	}
}

// Guards against demand by which peers grant slots to a flooding team before others, and
// against its waiting jobs that count as ahead of those of others.
func TestDemandOfTeams(t *testing.T) {
	s := overSchedule(t)
	now := start.Add(20 * time.Millisecond)
	s.Arrive(teamJob(2, "flood", 0, now), now)
	s.Arrive(teamJob(3, "other", 0, now.Add(100*time.Millisecond)), now)
	d := s.PeerState(now).Demand
	if len(d) != 2 || d[0].Over || !d[1].Over || d[1].Slack < d[0].Slack {
		t.Errorf("the demand is %+v, want that of the team within its share first", d)
	}
	j := teamJob(4, "other", 0, now.Add(200*time.Millisecond))
	s.markTeam(s.service("menus"), j, now)
	if n := s.countAhead(s.service("menus"), j, now); n != 2 {
		t.Errorf("%d jobs are ahead, want that of the same team and the one in the slot", n)
	}
}
