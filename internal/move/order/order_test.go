package order_test

import (
	"testing"
	"time"

	"agateward/internal/move/order"
	"agateward/ward"
)

func TestDecide(t *testing.T) {
	t0 := time.Unix(1000, 0)
	move := ward.Move{Name: "m", Ticket: 4, To: "v2", Load: []string{"a", "b"}}
	ups := []ward.Upstream{{Name: "a", ChecksFence: true}, {Name: "b"}}
	rec := func(u string, sent time.Time, executed bool) ward.OrderRecord {
		return ward.OrderRecord{Upstream: u, LastSent: sent, Executed: executed}
	}
	tests := []struct {
		name     string
		now      time.Duration
		records  []ward.OrderRecord
		reports  []order.Report
		expires  time.Duration
		slots    int
		send     string
		executed string
	}{
		{"both", 0, nil, nil, order.LeaseTTL, 2, "ab", ""},
		{"one slot", 0, nil, nil, order.LeaseTTL, 1, "a", ""},
		{"slot in use", 0, []ward.OrderRecord{rec("a", t0, false)}, nil, order.LeaseTTL, 1, "", ""},
		{"lease lapsed", 0, nil, nil, 0, 2, "", ""},
		{"late in the term", 0, nil, nil, order.LeaseTTL / 3, 2, "a", ""},
		{"report shows execution", time.Second, []ward.OrderRecord{rec("a", t0, false)}, []order.Report{{Upstream: "a", Version: "v2", At: t0}}, order.LeaseTTL, 1, "b", "a"},
		{"lost at a, may still run at b", order.MaxDuration, []ward.OrderRecord{rec("a", t0, false), rec("b", t0, false)}, nil, order.LeaseTTL, 2, "a", ""},
		{"ended, no recent report", order.MaxDuration + order.LeaseTTL, []ward.OrderRecord{rec("a", t0, true), rec("b", t0, false)}, []order.Report{{Upstream: "b", Version: "v1", At: t0}}, order.LeaseTTL, 2, "", ""},
		{"ended, recent report", order.MaxDuration + order.LeaseTTL + 2, []ward.OrderRecord{rec("a", t0, true), rec("b", t0, false)}, []order.Report{{Upstream: "b", Version: "v1", At: t0.Add(order.MaxDuration + order.LeaseTTL + 1)}}, order.LeaseTTL, 2, "b", ""},
	}
	for _, tt := range tests {
		now := t0.Add(tt.now)
		send, executed := "", ""
		for _, a := range order.Decide(order.Input{Now: now, Move: move, Upstreams: ups, Records: tt.records, Reports: tt.reports, Fence: 3, Expires: now.Add(tt.expires), Slots: tt.slots}) {
			if a.Send {
				send += a.Order.Upstream
			} else {
				executed += a.Record.Upstream
			}
		}
		if send != tt.send || executed != tt.executed {
			t.Errorf("%s: sent %q, executed %q; want %q and %q", tt.name, send, executed, tt.send, tt.executed)
		}
	}
}
