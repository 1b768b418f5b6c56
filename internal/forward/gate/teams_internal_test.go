package gate

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"agateward/internal/forward/fairshare"
	"agateward/internal/forward/schedule"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"
)

// Guards against a flood that shows neither in the log nor in the metrics, and against a
// line for each message while it lasts.
func TestTeamOverShareIsLogged(t *testing.T) {
	var lines []string
	set := metrics.NewSet()
	g := &Gate{
		sched:   schedule.Scheduler{Rand: rand.New(rand.NewPCG(1, 2)), Options: schedule.Options{FairTeams: true}},
		Log:     funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}),
		Metrics: &Metrics{Set: set},
	}
	now := time.Now()
	for range 5 {
		g.sched.UpdatePeer("entry-2", schedule.PeerState{Teams: []fairshare.Row{
			{Service: "chat", Rank: [2]int{0, 1}, Team: "kitchen", Asked: 160, Given: 39, Lacked: 96},
			{Service: "chat", Rank: [2]int{0, 1}, Team: "menus", Asked: 12, Given: 5, Lacked: 7},
		}}, now)
		g.noteTeams(now)
		now = now.Add(100 * time.Millisecond)
	}
	if len(lines) != 1 || !strings.Contains(lines[0], `"team"="kitchen" "over"=true`) {
		t.Errorf("the log is %q, want one line on the flooding team", lines)
	}
	var b strings.Builder
	set.WritePrometheus(&b)
	for _, want := range []string{`agateward_forward_teams_over_total 1`, `agateward_forward_team_use{team="kitchen"} 1.2`, `agateward_forward_team_use{team="menus"} 0.4`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the metrics lack %s:\n%s", want, b.String())
		}
	}
	t.Log(lines)
}
