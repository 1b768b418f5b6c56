package node

import (
	"fmt"
	"strings"
	"testing"

	"agateward/internal/forward/lending"
	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/schedule"
)

// TestLendingMessage guards against messages about loans that don't fit the network, or that
// entries which know no loans take for the state of a peer: they handle those with News set
// as news.
func TestLendingMessage(t *testing.T) {
	var used []lending.Loan
	for i := range 64 {
		used = append(used, lending.Loan{Sequence: 1<<63 + uint64(i), Upstream: fmt.Sprint("upstream-with-a-long-name-", i)})
	}
	rows := make([]schedule.Demand, lending.MaxRows)
	for i := range rows {
		rows[i] = schedule.Demand{Service: strings.Repeat("s", 30), Rank: [2]int{i, i}, Count: 2000, Slack: 1 << 40, Late: true}
	}
	tests := []struct {
		name string
		m    schedule.LendingMessage
		most int
	}{
		{"typical question", schedule.LendingMessage{Report: &lending.Report{Number: 1 << 60, Process: 1 << 60, Closed: 1 << 60, Used: used[:3]}, Demand: rows[:2]}, 500},
		{"longest question", schedule.LendingMessage{Report: &lending.Report{Number: 1 << 63, Process: 1 << 63, Closed: 1 << 63, Used: used}, Demand: rows}, 6 << 10},
		{"longest answer", schedule.LendingMessage{Answer: 1 << 63, Loans: used[:lending.MaxLoans]}, 1 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, err := lendingMessage("entry-001", "10.0.0.1:7600", tt.m).Encode()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d bytes", len(b))
			if len(b) > tt.most {
				t.Errorf("%d bytes, at most %d", len(b), tt.most)
			}
			m, err := peerstate.Decode(b)
			if err != nil {
				t.Fatal(err)
			}
			if !m.News || m.Lending == nil || fmt.Sprint(m.Lending.Report, m.Lending.Loans, m.Lending.Demand) != fmt.Sprint(tt.m.Report, tt.m.Loans, tt.m.Demand) {
				t.Errorf("%+v was read, want %+v as news", m, tt.m)
			}
		})
	}
}
