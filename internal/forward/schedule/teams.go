package schedule

import (
	"slices"
	"time"

	"agateward/internal/forward/fairshare"
)

// This file divides the upstreams of a service between the teams of a rank, with
// Options.FairTeams: the waiting jobs of a team that got more than its share while others
// lack theirs are ordered as if they were due later. See docs/design/teams.md.

// overDelay is how much later jobs of teams over their share count as due. It covers the
// age of the peers' states. With a longer one, jobs close to their due time wait for jobs
// with time left, and several entries grant a slot for the same job.
const overDelay = 250 * time.Millisecond

// orderDue is the due time by which j is ordered among those of its rank. While a team is
// over its share, it is the time at which j has to be sent: a long prompt of a team within
// its share would otherwise start too late behind short ones of the others.
func (j *Job) orderDue() time.Time {
	switch {
	case j.over:
		return j.Due.Add(overDelay - seconds(nominalFirst(j)))
	case j.beside:
		return j.Due.Add(-seconds(nominalFirst(j)))
	}
	return j.Due
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// markTeam sets whether the team of j, or another one, is over its share.
func (s *Scheduler) markTeam(v *service, j *Job, now time.Time) {
	j.over, j.beside = false, false
	if s.Options.FairTeams && s.teams.AnyOver(now) {
		j.over = s.teams.Over(teamKey(v, j), now)
		j.beside = !j.over
	}
}

func teamKey(v *service, j *Job) fairshare.Key {
	return fairshare.Key{Service: v.name, Rank: j.Rank, Team: j.Team}
}

// engineTime is the time in seconds for which j occupies a slot of a nominal upstream.
func engineTime(j *Job) float64 { return nominalFirst(j) + nominalRest(j) }

// askTeam records the arrival of j.
func (s *Scheduler) askTeam(v *service, j *Job, now time.Time) {
	if s.Options.FairTeams {
		s.teams.Ask(teamKey(v, j), j.Weight, engineTime(j), now)
	}
	s.markTeam(v, j, now)
}

// giveTeam records the dispatch of j.
func (s *Scheduler) giveTeam(v *service, j *Job, now time.Time) {
	if s.Options.FairTeams {
		s.teams.Give(teamKey(v, j), engineTime(j), now)
	}
}

// lackTeam records, once for a job, that j is refused or can't be in time any more.
func (s *Scheduler) lackTeam(v *service, j *Job, now time.Time) {
	if s.Options.FairTeams && !j.turnedLate {
		s.teams.Lack(teamKey(v, j), engineTime(j), now)
	}
}

// markTeams sets which waiting jobs are of teams over their share.
func (s *Scheduler) markTeams(v *service, now time.Time) {
	if !s.Options.FairTeams {
		return
	}
	for _, j := range v.queue {
		s.markTeam(v, j, now)
	}
}

// recordTeamDeparture records a departure by whether its team is within its share. The
// shares of the departures decay as those of the ranks.
func (v *service) recordTeamDeparture(j *Job, late bool) {
	for _, c := range v.ranks {
		c.within -= departureWeight * c.within
		c.lateWithin -= departureWeight * c.lateWithin
	}
	switch c := v.rank(j.Rank); {
	case j.over:
	case late:
		c.lateWithin += departureWeight
	default:
		c.within += departureWeight
	}
}

// takenByTeams is the fraction of the departures that teams within their share take from
// j, besides those that jobs of its rank in time take from late ones.
func (v *service) takenByTeams(j *Job, late bool) float64 {
	switch {
	case !j.over:
		return 0
	case late:
		return v.rank(j.Rank).lateWithin
	default:
		return v.rank(j.Rank).within
	}
}

// displaceable returns the waiting job that j displaces from a full queue, nil for none:
// the last one of the team most over its share, of the rank of j or below, if the team of
// j is within its own.
func (s *Scheduler) displaceable(v *service, j *Job, now time.Time) *Job {
	if j.over {
		return nil
	}
	var last *Job
	most := 0.0
	for _, q := range v.queue {
		if !q.over || q.Resumed || rankLess(q.Rank, j.Rank) {
			continue
		}
		if x := s.teams.Excess(teamKey(v, q), now); x >= most {
			last, most = q, x
		}
	}
	return last
}

// displace refuses a waiting job, if it is not nil.
func (s *Scheduler) displace(v *service, j *Job, now time.Time) []Action {
	if j == nil {
		return nil
	}
	v.queue = slices.DeleteFunc(v.queue, func(q *Job) bool { return q == j })
	return []Action{s.refuse(v, j, ReasonQueueLong, now)}
}

// teamRowsInterval is the time between two messages with the sums of this entry's teams.
// They change within seconds, and a message may go out every 15 ms.
const teamRowsInterval = 500 * time.Millisecond

// reportTeams adds the sums of this entry's teams to its state, if they are due.
func (s *Scheduler) reportTeams(state *PeerState, now time.Time) {
	if !s.Options.FairTeams || now.Sub(s.teamsSent) < teamRowsInterval && !now.Equal(s.teamsSent) {
		return
	}
	state.Teams, s.teamsSent = s.teams.Rows(now), now
}

// hearTeams records the sums of a peer's teams.
func (s *Scheduler) hearTeams(name string, state PeerState, now time.Time) {
	if s.Options.FairTeams {
		s.teams.UpdatePeer(name, state.Teams, now)
	}
}

// TeamChanges returns the teams that are over their share, or within it again, since the
// last call.
func (s *Scheduler) TeamChanges(now time.Time) []fairshare.Change {
	if !s.Options.FairTeams {
		return nil
	}
	return s.teams.Changes(now)
}

// Teams returns the teams that asked for something lately, in order.
func (s *Scheduler) Teams() []string {
	if !s.Options.FairTeams {
		return nil
	}
	return s.teams.Teams()
}

// TeamUse returns what a team was given as a multiple of its share, the highest of all
// services and ranks.
func (s *Scheduler) TeamUse(team string, now time.Time) float64 { return s.teams.Use(team, now) }
