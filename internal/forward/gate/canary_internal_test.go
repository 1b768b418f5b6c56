package gate

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"testing"
	"time"

	"agateward/internal/forward/poison"
	"agateward/internal/forward/schedule"
	"agateward/ward"
)

// Guards against requests that are refused because a new version crashes under a part of
// their prompt, though the version in use answers it.
func TestPartThatCrashesOnlyNewVersion(t *testing.T) {
	const part = 7
	now := time.Now().Add(-20 * time.Second)
	g := &Gate{sched: schedule.Scheduler{Rand: rand.New(rand.NewPCG(1, 2))}}
	g.sched.SetUpstreams([]ward.Replica{
		{ID: "u1", Service: "s", Version: "v1", Address: "u1:1", Slots: 1},
		{ID: "u2", Service: "s@v2", Version: "v2", Address: "u2:1", Slots: 1},
	}, now)
	old, next := poison.Target{Service: "s", Version: "v1"}, poison.Target{Service: "s", Version: "v2"}
	g.crashes.Answered(old, poison.Content{Parts: []uint64{part}}, now)
	for i := range 5 {
		now = now.Add(2 * time.Second)
		g.crashes.Answered(next, poison.Content{}, now)
		now = now.Add(2 * time.Second)
		g.crashes.Crashed(next, schedule.Identity{ID: fmt.Sprint("u2-", i)}, poison.Content{Parts: []uint64{part}}, now)
	}
	c := &call{gate: g, service: "s", group: "s@v2", parts: []uint64{part}, r: &http.Request{URL: &url.URL{Path: "/"}}}
	if v := c.barred(); !v.Blocked {
		t.Fatal("the part is not blocked on the new version")
	}
	if !c.pickGroup() || c.group != "s" {
		t.Errorf("group %q, want that of the version in use", c.group)
	}
}
