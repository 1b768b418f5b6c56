package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"agateward/internal/request/scheduler"
	"agateward/internal/request/waste"
	"agateward/internal/result/code"
	"agateward/ward"
)

var start = time.Unix(1_700_000_000, 0)

// config returns a configuration of n engines of version v1 and one of v2.
func config(n int) *ward.Config {
	c := &ward.Config{Fleet: "test", Revision: 1}
	for i := range n {
		c.Upstreams = append(c.Upstreams, ward.Upstream{
			Name: fmt.Sprintf("e%d", i), Kind: ward.KindEngine, Serves: "m", Version: "v1",
		})
	}
	c.Upstreams = append(c.Upstreams, ward.Upstream{Name: "new", Kind: ward.KindEngine, Serves: "m", Version: "v2"})
	c.Routes = []ward.Route{{Name: "chat", Kind: ward.KindEngine, Serves: "m", Version: "v1", Tier: 2}}
	return c
}

func request(id string, tier ward.Tier, now time.Time) *ward.Request {
	return &ward.Request{
		ID: id, Team: "a", Tier: tier, Route: "chat", Kind: ward.KindEngine, Serves: "m",
		Arrived: now, Deadline: now.Add(20 * time.Second), PromptTokens: 400, ExpectOutput: 50,
	}
}

func TestDispatchOrderAndCapacity(t *testing.T) {
	s := scheduler.New(scheduler.Settings{Self: "a"}, 1)
	s.Configure(start, config(1))
	sent := 0
	for i := range 200 {
		for _, a := range s.Arrive(start, request(fmt.Sprint("low", i), 4, start)) {
			if a.Kind == scheduler.Dispatch {
				sent++
			}
		}
	}
	if sent == 0 || sent > 64 {
		t.Fatalf("dispatched %d at once, want some and no more than the first limit of 64", sent)
	}
	acts := s.Arrive(start, request("top", 1, start))
	// The top tier is dispatched first, at once or when a request ends.
	now := start.Add(40 * time.Millisecond)
	s.FirstToken(now, "low0")
	acts = append(acts, s.End(now, "low0", ward.Outcome{OK: true, Connected: true, OutputTokens: 50})...)
	for range 100 {
		for _, a := range acts {
			if a.Kind == scheduler.Dispatch && a.ID != "top" {
				t.Fatalf("dispatched %s before the top tier", a.ID)
			}
			if a.Kind == scheduler.Dispatch {
				return
			}
		}
		now = now.Add(50 * time.Millisecond)
		acts = s.Tick(now)
	}
	t.Fatal("nothing was dispatched when room was made")
}

func TestQuarantineAndShare(t *testing.T) {
	s := scheduler.New(scheduler.Settings{Self: "a"}, 1)
	s.Configure(start, config(2))
	split := ward.Split{Route: "chat", Version: "v1", Next: "v2", Move: "m1", Share: 1, MaxInFlight: 2}
	s.SetSplits(start, []ward.Split{split})
	onNew := 0
	for i := range 10 {
		for _, a := range s.Arrive(start, request(fmt.Sprint("r", i), 2, start)) {
			if a.Upstream.Version == "v2" {
				onNew++
			}
		}
	}
	if onNew != 2 {
		t.Fatalf("%d requests in flight on the next version, want its bound of 2", onNew)
	}
	split.MaxInFlight = 0
	split.Quarantined = []string{"v2"}
	s.SetSplits(start, []ward.Split{split})
	for i := range 10 {
		for _, a := range s.Arrive(start, request(fmt.Sprint("after", i), 2, start)) {
			if a.Upstream.Version == "v2" {
				t.Fatal("dispatched to a quarantined version")
			}
		}
	}
}

func TestRetryOnlyWithoutConnection(t *testing.T) {
	cases := []struct {
		name      string
		connected bool
		want      scheduler.ActionKind
	}{
		{"never connected", false, scheduler.Dispatch},
		{"connected", true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scheduler.New(scheduler.Settings{Self: "a"}, 1)
			s.Configure(start, config(2))
			first := s.Arrive(start, request("r", 1, start))
			if len(first) != 1 || first[0].Kind != scheduler.Dispatch {
				t.Fatalf("arrive: %+v, want one dispatch", first)
			}
			acts := s.End(start, "r", ward.Outcome{Connected: c.connected})
			acts = append(acts, s.Tick(start.Add(time.Second))...)
			if c.want == 0 {
				if len(acts) != 0 {
					t.Fatalf("acted on an ended request: %+v", acts)
				}
				return
			}
			if len(acts) != 1 || acts[0].Kind != c.want || acts[0].Upstream.Name == first[0].Upstream.Name {
				t.Fatalf("got %+v, want a dispatch to the other upstream", acts)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	s := scheduler.New(scheduler.Settings{Self: "a"}, 1)
	s.Configure(start, config(1))
	late := request("late", 1, start)
	late.Deadline = start.Add(10 * time.Millisecond)
	unknown := request("unknown", 1, start)
	unknown.Route = "none"
	cases := []struct {
		r    *ward.Request
		want code.Code
	}{
		{late, code.DeadlineUnreachable},
		{unknown, code.UnknownRoute},
	}
	for _, c := range cases {
		acts := s.Arrive(start, c.r)
		if len(acts) != 1 || acts[0].Kind != scheduler.Refuse || acts[0].Code.Number != c.want.Number {
			t.Errorf("%s: got %+v, want %s", c.r.ID, acts, c.want)
		}
	}
	s.Stop(start)
	if acts := s.Arrive(start, request("r", 1, start)); acts[0].Code.Number != code.Stopping.Number {
		t.Errorf("while stopping: got %+v", acts)
	}
}

// TestOutage checks that requests are refused while no upstream can be reached,
// and that a load report allows the next probe at once.
func TestOutage(t *testing.T) {
	s := scheduler.New(scheduler.Settings{Self: "a"}, 1)
	s.Configure(start, config(1))
	now := start
	for i := range 12 {
		id := fmt.Sprint("r", i)
		for _, a := range s.Arrive(now, request(id, 1, now)) {
			if a.Kind == scheduler.Dispatch {
				s.End(now, id, ward.Outcome{})
			}
		}
		now = now.Add(time.Second)
		for _, a := range s.Tick(now) {
			if a.Kind == scheduler.Dispatch {
				s.End(now, a.ID, ward.Outcome{})
			}
		}
	}
	short := request("hasty", 1, now)
	short.Deadline = now.Add(2100 * time.Millisecond)
	if acts := s.Arrive(now, short); len(acts) != 1 || acts[0].Code.Number != code.NoUpstream.Number {
		t.Fatalf("with all connections failing: %+v, want %s", acts, code.NoUpstream)
	}
	s.Report(now, ward.LoadReport{Upstream: "e0", At: now})
	if acts := s.Arrive(now, request("probe", 1, now)); len(acts) == 0 || acts[0].Kind != scheduler.Dispatch {
		t.Fatalf("after a report was read: %+v, want a dispatch", acts)
	}
}

func TestDraining(t *testing.T) {
	s := scheduler.New(scheduler.Settings{Self: "a"}, 1)
	s.Configure(start, config(1))
	s.SetDraining(start, []string{"e0"})
	next := config(1)
	next.Revision = 2
	s.Configure(start, next)
	if acts := s.Arrive(start, request("r", 1, start)); len(acts) != 1 || acts[0].Code.Number != code.NoUpstream.Number {
		t.Fatalf("while the only upstream drains: %+v", acts)
	}
	s.SetDraining(start, nil)
	if acts := s.Arrive(start, request("r", 1, start)); len(acts) != 1 || acts[0].Kind != scheduler.Dispatch {
		t.Fatalf("after the drain was cancelled: %+v", acts)
	}
}

func TestWasteByCause(t *testing.T) {
	cases := []struct {
		name  string
		o     ward.Outcome
		after time.Duration
		want  waste.Cause
	}{
		{"caller left", ward.Outcome{Connected: true, Cancelled: true}, time.Second, waste.CallerGone},
		{"deadline passed", ward.Outcome{Connected: true, Cancelled: true}, 20 * time.Second, waste.DeadlinePassed},
		{"answer cut", ward.Outcome{Connected: true}, time.Second, waste.StreamCut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scheduler.New(scheduler.Settings{Self: "a"}, 1)
			s.Configure(start, config(1))
			s.Arrive(start, request("r", 1, start))
			s.FirstToken(start.Add(100*time.Millisecond), "r")
			s.End(start.Add(c.after), "r", c.o)
			got := s.State().Waste
			if got.Wasted[c.want] != 400 || got.Sum() != 400 || got.Computed != 400 {
				t.Fatalf("counted %+v, want the prompt's 400 tokens as %s", got, c.want)
			}
		})
	}
}
