package program

import (
	"context"
	"fmt"
	"testing"
	"time"

	"agateward/internal/config/settings"
	"agateward/internal/peer/member"
	"agateward/ward"

	"github.com/go-logr/logr"
)

// BenchmarkExchange measures one exchange of state between scheduler, moves and
// peers. An idle entry makes four a second.
func BenchmarkExchange(b *testing.B) {
	for _, entries := range []int{8, 64, 410} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			p := newBenchmarkEntry(b, entries)
			b.ReportAllocs()
			for b.Loop() {
				p.exchange()
			}
		})
	}
}

// newBenchmarkEntry returns an entry that has received a message from each peer, with
// one move in progress on five routes.
func newBenchmarkEntry(tb testing.TB, entries int) *Program {
	s := settings.Default()
	s.Name, s.Fleet, s.DataCentre = "entry-0", "test", "east-1"
	for _, a := range []*string{&s.Callers.Address, &s.Operators.Address, &s.Peers.Address} {
		*a = "127.0.0.1:0"
	}
	s.Platform.Address = "127.0.0.1:1"
	s.Peers.MaxBytesPerSecond = 1 << 30
	p, err := New(context.Background(), s, Options{Log: logr.Discard()})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { p.close() })
	c := &ward.Config{Fleet: "test", Revision: 1, Moves: []ward.Move{{
		Name: "m", Ticket: 1, Serves: "writer", From: "v1", To: "v2", Deadline: time.Now().Add(time.Hour),
	}}}
	for i := range 5 {
		c.Routes = append(c.Routes, ward.Route{Name: fmt.Sprintf("route-%d", i), Kind: ward.KindEngine, Serves: "writer", Version: "v1", Tier: 1})
	}
	for i := range 100 {
		version := fmt.Sprintf("v%d", 1+i%2)
		c.Upstreams = append(c.Upstreams, ward.Upstream{Name: fmt.Sprintf("engine-%d", i), Kind: ward.KindEngine, Serves: "writer", Version: version, Address: "127.0.0.1:1", DataCentre: "east-1"})
	}
	p.holder.Adopt(c)
	for i := 1; i < entries; i++ {
		if _, err := p.gossip.Receive(peerMessage(i, c)); err != nil {
			tb.Fatal(err)
		}
	}
	if live := p.gossip.Live(); live != entries {
		tb.Fatalf("%d entries live, want %d", live, entries)
	}
	return p
}

// peerMessage returns the message of the i-th peer.
func peerMessage(i int, c *ward.Config) ward.Exchange {
	name := fmt.Sprintf("entry-%d", i)
	born := ward.Incarnation(time.Now().Add(-time.Minute).UnixNano())
	x := ward.Exchange{Fleet: c.Fleet, Protocol: member.Protocol, From: name, To: "entry-0", Incarnation: born, Revision: 1}
	state := ward.PeerState{Name: name, Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), DataCentre: "east-1", Incarnation: born, Seq: 1, Revision: 1, Floor: ward.TierBottom}
	for k := range 10 {
		state.Demand = append(state.Demand, ward.Demand{Upstream: c.Upstreams[(i+k)%len(c.Upstreams)].Name, InFlight: 2, Prefill: 500})
	}
	x.States = []ward.PeerState{state}
	for _, r := range c.Routes {
		for _, v := range []string{"v1", "v2"} {
			x.Counts = append(x.Counts, ward.Counts{Serves: "writer", Version: v, Route: r.Name, Move: "m", Entry: name, Incarnation: born, Succeeded: uint64(10 * i)})
		}
	}
	return x
}
