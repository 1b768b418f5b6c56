package peers

import (
	"slices"
	"testing"
	"time"

	"agateward/internal/forward/peerstate"
)

func TestPeersFindEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Set{Self: "entry-1"}
	s.AddCandidate("10.0.0.2:7600", now)
	if got := s.Targets(now); !slices.Contains(got, "10.0.0.2:7600") {
		t.Fatalf("targets %v lack the seed", got)
	}
	m := peerstate.Message{Name: "entry-2", Start: 5, Sequence: 1, Listen: "10.0.0.2:7600", Peers: []string{"10.0.0.3:7600"}}
	if !s.Receive(m, now) {
		t.Fatal("the first message is not accepted")
	}
	if got := s.Targets(now); !slices.Contains(got, "10.0.0.3:7600") {
		t.Errorf("targets %v lack the peer's peer", got)
	}
	cases := []struct {
		name     string
		start    int64
		sequence uint64
		name2    string
		want     bool
	}{
		{"again", 5, 1, "entry-2", false},
		{"later", 5, 2, "entry-2", true},
		{"from an earlier process", 4, 9, "entry-2", false},
		{"after a restart", 6, 1, "entry-2", true},
		{"own", 9, 9, "entry-1", false},
	}
	for _, c := range cases {
		if got := s.Receive(peerstate.Message{Name: c.name2, Start: c.start, Sequence: c.sequence, Listen: "x"}, now); got != c.want {
			t.Errorf("message %s: accepted %v", c.name, got)
		}
	}
	if n := s.Alive(now.Add(2 * time.Second)); n != 0 {
		t.Errorf("%d peers are alive after silence", n)
	}
	if n := s.Entries(now.Add(2 * time.Second)); n != 2 {
		t.Errorf("%d entries, want 2 with the unresponsive one", n)
	}
}

func FuzzDecode(f *testing.F) {
	b, err := peerstate.Message{Name: "e", Listen: "l"}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := peerstate.Decode(b)
		if err != nil {
			return
		}
		s := Set{Self: "self"}
		s.Receive(m, time.Unix(1, 0))
	})
}

// TestClockSetBack restarts an entry whose clock was set back, so that the new
// process has a lower Start than the earlier one.
func TestClockSetBack(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Set{Self: "entry-1"}
	old := peerstate.Message{Name: "entry-2", Start: 9, Sequence: 40, Listen: "10.0.0.2:7600"}
	s.Receive(old, now)
	fresh := peerstate.Message{Name: "entry-2", Start: 5, Sequence: 1, Listen: "10.0.0.2:7600"}
	if s.Receive(fresh, now.Add(aliveTimeout/2)) {
		t.Error("accepted while the earlier process is alive")
	}
	if !s.Receive(fresh, now.Add(2*aliveTimeout)) {
		t.Error("not accepted after the earlier process became unresponsive")
	}
	if old.Sequence = 41; !s.Receive(old, now.Add(5*aliveTimeout)) {
		t.Error("a higher Start is not accepted")
	}
}
