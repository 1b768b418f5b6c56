package limit

import (
	"testing"
	"time"

	"agateward/ward"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func rate(r float64) ward.RateLimit { return ward.RateLimit{Limited: true, PerSecond: r} }

// observation is an answer that arrives at now, to a request that was sent at sent, in
// seconds.
type observation struct {
	sent, now float64
	says      ward.RateLimit
}

func TestObserve(t *testing.T) {
	cases := []struct {
		name    string
		answers []observation
		want    State
	}{
		{"never named", []observation{{0, 1, ward.RateLimit{}}}, State{}},
		{"named by a request from before", []observation{{0, 1, rate(2)}}, State{1, true, 2}},
		{"said again", []observation{{0, 1, rate(2)}, {2, 3, rate(2)}}, State{1, true, 2}},
		{"ended", []observation{{0, 1, rate(2)}, {2, 3, ward.RateLimit{}}}, State{2, false, 0}},
		{"an older answer does not end it", []observation{{0, 1, rate(2)}, {0.5, 3, ward.RateLimit{}}}, State{1, true, 2}},
		{"an older answer does not loosen it", []observation{{0, 1, rate(2)}, {0.5, 3, rate(3)}}, State{1, true, 2}},
		{"an older answer tightens it", []observation{{0, 1, rate(2)}, {0.5, 3, rate(1)}}, State{2, true, 1}},
		{"an older answer does not set it again", []observation{{0, 1, rate(2)}, {2, 3, ward.RateLimit{}}, {2.5, 4, rate(2)}}, State{2, false, 0}},
		{"named again", []observation{{0, 1, rate(2)}, {2, 3, ward.RateLimit{}}, {3.5, 4, rate(2)}}, State{3, true, 2}},
		{"an unreadable value changes nothing", []observation{{0, 1, rate(2)}, {2, 3, ward.RateLimit{Unknown: true, Fault: "x"}}}, State{1, true, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l Limit
			for _, o := range c.answers {
				l.Observe(o.says, at(o.sent), at(o.now))
			}
			if got, _ := l.State(); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
