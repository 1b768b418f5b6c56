package plan

import (
	"testing"
	"time"
)

// Guards against a bad version that is completed by the clock: the holder knew few requests
// of a window that the store had left short, and took its traffic for thin.
func TestClockNeedsThinTraffic(t *testing.T) {
	begin := time.Unix(1000, 0)
	cases := []struct {
		name             string
		window, observed time.Duration
		requests         uint64
		byClock          bool
	}{
		{"thin traffic", 13 * time.Second, 10 * time.Second, 20, true},
		{"enough traffic", 13 * time.Second, 10 * time.Second, 60, false},
		{"short window, little known", 3200 * time.Millisecond, 2900 * time.Millisecond, 3, false},
		{"just started", 13 * time.Second, 2 * time.Second, 0, false},
	}
	for _, c := range cases {
		p := Plan{Begin: begin, Deadline: begin.Add(c.window)}
		e := Evidence{Requests: c.requests, Observed: c.observed}
		late := begin.Add(c.window * 95 / 100)
		if due := p.Due(UnprovenSteps, begin, late, e); due != c.byClock {
			t.Errorf("%s: step due %t", c.name, due)
		}
		if overdue := p.ApprovalOverdue(late, e); overdue == c.byClock {
			t.Errorf("%s: approval overdue %t", c.name, overdue)
		}
	}
}
