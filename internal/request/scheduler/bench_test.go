package scheduler

import (
	"fmt"
	"testing"
	"time"

	"agateward/ward"
)

// BenchmarkChoose measures the choice of an upstream by one entry of eight.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 750} {
		b.Run(fmt.Sprintf("upstreams-%d", n), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			s, rs := benchScheduler(now, n)
			b.ReportAllocs()
			for b.Loop() {
				if c := s.choose(now, rs.pool, rs); c.u == nil {
					b.Fatal("no upstream chosen")
				}
			}
		})
	}
}

// BenchmarkTick measures the regular work of one entry.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 100, 750} {
		b.Run(fmt.Sprintf("upstreams-%d", n), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			s, _ := benchScheduler(now, n)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				s.Tick(now)
			}
		})
	}
}

func benchScheduler(now time.Time, n int) (*Scheduler, *requestState) {
	c := &ward.Config{Revision: 1, Routes: []ward.Route{{Name: "chat", Kind: ward.KindEngine, Serves: "m", Version: "v1"}}}
	for i := range n {
		c.Upstreams = append(c.Upstreams, ward.Upstream{Name: fmt.Sprintf("u%03d", i), Kind: ward.KindEngine, Serves: "m", Version: "v1"})
	}
	s := New(Settings{Self: "entry-0"}, 1)
	s.Configure(now, c)
	var peers []ward.PeerState
	for i := range 7 {
		peers = append(peers, ward.PeerState{Name: fmt.Sprintf("entry-%d", i+1)})
	}
	s.SetPeers(now, peers)
	r := &ward.Request{ID: "r", Team: "a", Tier: 1, Route: "chat", Serves: "m", PromptTokens: 4000, MaxOutput: 200, Deadline: now.Add(time.Minute)}
	for i := range 16 {
		r.Prefix = append(r.Prefix, uint64(i))
		s.prefixes.Store(uint64(i), i%n)
	}
	rs := s.newRequest(now, r)
	rs.pool, _ = s.assign(now, rs)
	return s, rs
}

// BenchmarkPeers measures SetPeers with the states of all peers, each of
// which uses three upstreams of 750.
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{8, 100, 410} {
		b.Run(fmt.Sprintf("peers-%d", n), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			s, _ := benchScheduler(now, 750)
			peers := make([]ward.PeerState, n)
			for i := range peers {
				peers[i].Name = fmt.Sprintf("entry-%03d", i+1)
				for k := range 3 {
					peers[i].Demand = append(peers[i].Demand, ward.Demand{Upstream: fmt.Sprintf("u%03d", (2*i+k)%750), InFlight: 9, Rate: 9000})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(250 * time.Millisecond)
				s.SetPeers(now, peers)
			}
		})
	}
}
