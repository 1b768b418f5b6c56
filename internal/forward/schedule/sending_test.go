package schedule

import (
	"testing"
	"time"

	"agateward/ward"
)

// Guards against requests that hold a slot until their deadline because one answer of an
// upstream is missing: it answers others, so it has not merely paused.
func TestSending(t *testing.T) {
	begin := time.Unix(1000, 0)
	now := begin.Add(2 * time.Second)
	cases := []struct {
		name     string
		answered time.Duration // when another request was answered, 0 for never
		peer     PeerState
		want     bool
	}{
		{"silent to this entry", 0, PeerState{}, false},
		{"answered another request before the silence", 500 * time.Millisecond, PeerState{}, false},
		{"answered another request since", 1500 * time.Millisecond, PeerState{}, true},
		{"a peer has just sent a request there", 0, PeerState{Load: map[string]int{"u": 1}}, false},
		{"silent to a peer", 0, PeerState{Load: map[string]int{"u": 1}, Unresponsive: []string{"u"}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler("a", nil)
			s.SetUpstreams([]ward.Replica{{ID: "u", Service: "s", Address: "u:1", Slots: 4}}, begin)
			for id := uint64(1); id <= 2; id++ {
				s.Arrive(&Job{ID: id, Service: "s", Arrived: begin, Due: begin.Add(time.Minute), Expires: begin.Add(time.Minute), Repeatable: true}, begin)
			}
			if c.answered > 0 {
				s.FirstEvent(2, begin.Add(c.answered))
			}
			s.UpdatePeer("b", c.peer, now)
			if got := s.Sending(1, begin.Add(time.Second)); got != c.want {
				t.Errorf("sending %v, want %v", got, c.want)
			}
		})
	}
}
