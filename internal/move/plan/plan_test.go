package plan

import (
	"testing"
	"time"
)

// Guards against a bad version that is completed by the clock, since too few requests come to
// approve one: what speaks against it stops the steps.
func TestFewRequestsThatSpeakAgainstAVersion(t *testing.T) {
	begin := time.Unix(1000, 0)
	p := Plan{Begin: begin, Deadline: begin.Add(10 * time.Second)}
	cases := []struct {
		name         string
		e            Evidence
		due, overdue bool
		// last is whether the approval is overdue at the deadline.
		last bool
	}{
		{"no requests", Evidence{}, true, false, false},
		{"nothing against it", Evidence{Requests: 30, Outcomes: 10}, true, false, false},
		{"outcomes against it", Evidence{Requests: 30, Outcomes: 10, Opposed: true, Unclear: true}, false, true, true},
		{"requests that still run", Evidence{Requests: 30, Outcomes: 3, Unclear: true}, false, false, true},
		{"thin, some outcomes", Evidence{Requests: 70, Outcomes: 10}, true, false, false},
		{"thin, few outcomes", Evidence{Requests: 70, Outcomes: 9}, false, true, true},
		{"thin, outcomes against it", Evidence{Requests: 70, Outcomes: 20, Opposed: true, Unclear: true}, false, true, true},
		{"enough requests", Evidence{Requests: 100, Outcomes: 20}, false, true, true},
	}
	for _, c := range cases {
		c.e.Observed = 9 * time.Second
		c.e.Requests = c.e.Requests * 9 / 10
		late := begin.Add(9500 * time.Millisecond)
		if due := p.Due(UnprovenSteps, begin, late, c.e); due != c.due {
			t.Errorf("%s: step due %t", c.name, due)
		}
		if overdue := p.ApprovalOverdue(late, c.e); overdue != c.overdue {
			t.Errorf("%s: approval overdue %t", c.name, overdue)
		}
		if overdue := p.ApprovalOverdue(p.Deadline, c.e); overdue != c.last {
			t.Errorf("%s: approval overdue at the deadline %t", c.name, overdue)
		}
	}
}

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
