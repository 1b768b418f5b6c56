package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"agateward/internal/config/forwarding"
	"agateward/internal/forward/lending"
	"agateward/internal/forward/peers"
	"agateward/internal/forward/peerstate"
	"agateward/internal/forward/replicas"
	"agateward/internal/forward/schedule"
	"agateward/internal/forward/view"
	"agateward/ward"

	"github.com/go-logr/logr"
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

// TestLoanOverNetwork guards against questions of entries of other cells that get no answer,
// and against answers to names that the store does not list.
func TestLoanOverNetwork(t *testing.T) {
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	own, borrower := listen(), listen()
	self := ward.ForwardEntry{Name: "lender", DataCentre: "a", Listen: own.LocalAddr().String()}
	list := []ward.ForwardEntry{self}
	for i := range 13 {
		list = append(list, ward.ForwardEntry{Name: fmt.Sprint("b-", i), DataCentre: "b", Listen: borrower.LocalAddr().String()})
	}
	s := forwarding.Settings{Name: self.Name, DataCentre: self.DataCentre}
	s.Scheduling.LendSlots = true
	s.Listen.State, s.PeerStatePort = self.Listen, own.LocalAddr().(*net.UDPAddr).Port
	n := New(s, Parts{Log: logr.Discard()})
	n.peerConn = own
	var docs view.State
	for i := range 3 {
		r := ward.Replica{ID: fmt.Sprint("u", i), Service: "bookings", DataCentre: "a", Address: fmt.Sprint("10.0.1.", i, ":7000"), Slots: 6}
		docs.Replicas = append(docs.Replicas, replicas.Entry{Revision: uint64(i + 1), Replica: r})
	}
	n.view.Merge("store", docs)
	n.setCell(peers.CellOf(list, self))
	done := make(chan struct{})
	go func() { n.receiveLoop(t.Context()); close(done) }()
	ask := func(name string) []lending.Loan {
		q := schedule.LendingMessage{Report: &lending.Report{Number: 5}, Demand: []schedule.Demand{{Service: "bookings", Count: 4, Slack: time.Second}}}
		b, err := lendingMessage(name, borrower.LocalAddr().String(), q).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := borrower.WriteTo(b, own.LocalAddr()); err != nil {
			t.Fatal(err)
		}
		if err := borrower.SetReadDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, peerstate.MaxSize)
		size, err := borrower.Read(buf)
		if err != nil {
			return nil
		}
		m, err := peerstate.Decode(buf[:size])
		if err != nil || m.Lending == nil || m.Lending.Answer != 5 {
			t.Fatalf("answer %+v, error %v", m, err)
		}
		return m.Lending.Loans
	}
	if got := ask("stranger"); len(got) > 0 {
		t.Errorf("an unknown entry gets %v", got)
	}
	if got := ask("b-3"); len(got) != 4 {
		t.Errorf("loans %v, want 4", got)
	}
	own.Close()
	<-done
}
