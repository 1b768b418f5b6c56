package gate

import (
	"testing"

	"agateward/internal/forward/route"
	"agateward/internal/forward/schedule"
	"agateward/ward"
)

// Guards against a slow version that looks as fast as the others: the expected time of a
// stream was that of its limit, which says little about its length.
func TestOutcomeHasGeneratedTokens(t *testing.T) {
	table := route.New(ward.Forwarding{Services: []ward.ForwardService{{Name: "s", Stride: 5}}})
	cases := []struct {
		name   string
		kind   ward.ForwardKind
		events int
		want   int
	}{
		{"stream", ward.ForwardStream, 7, 35},
		{"stream without an event", ward.ForwardStream, 0, 0},
		{"plain", ward.ForwardUnsafe, 0, 900},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := &call{
				table: table, service: "s", events: c.events, route: &ward.ForwardRoute{Kind: c.kind},
				head: ward.ForwardHead{PromptTokens: 400, MaxOutput: 900},
			}
			o := x.outcome(schedule.Action{Upstream: &ward.Replica{ID: "u"}}, schedule.OutcomeOK)
			if o.OutputTokens != c.want || o.PromptTokens != 400 {
				t.Errorf("%d prompt and %d output tokens, want 400 and %d", o.PromptTokens, o.OutputTokens, c.want)
			}
		})
	}
}
