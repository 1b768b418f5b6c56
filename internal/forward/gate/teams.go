package gate

import (
	"slices"
	"time"

	"agateward/internal/forward/fairshare"
)

// noteTeams logs the teams that are over their share, or within it again, and registers
// the gauges of new teams. The caller must hold mu.
func (g *Gate) noteTeams(now time.Time) {
	for _, c := range g.sched.TeamChanges(now) {
		g.Log.Info("team-share", "service", c.Service, "rank", c.Rank, "team", c.Team, "over", c.Over,
			"part", c.Share, "use", c.Given, "demand", c.Asked, "lacked", c.Lacked, "peers", c.Peers)
		if c.Over {
			g.Metrics.teamOver()
		}
	}
	for _, team := range g.sched.Teams() {
		if len(g.teams) < fairshare.MaxRows && !slices.Contains(g.teams, team) {
			g.teams = append(g.teams, team)
			g.Metrics.teamUse(team, func() float64 { return g.teamUse(team) })
		}
	}
}

// teamUse returns what a team was given as a multiple of its share, 0 if it asked for
// nothing lately.
func (g *Gate) teamUse(team string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.TeamUse(team, time.Now())
}
