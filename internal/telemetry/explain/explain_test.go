package explain

import (
	"fmt"
	"testing"
)

func TestKeepsTheLastRequests(t *testing.T) {
	l := New(2)
	for i := range 3 {
		l.Add(fmt.Sprint(i), Hop{Name: "arrive"})
		l.Add(fmt.Sprint(i), Hop{Name: "dispatch"})
	}
	cases := []struct {
		id   string
		hops int
	}{
		{"0", 0},
		{"1", 2},
		{"2", 2},
	}
	for _, c := range cases {
		if hops, _ := l.Of(c.id); len(hops) != c.hops {
			t.Errorf("request %s has %d hops, want %d", c.id, len(hops), c.hops)
		}
	}
}

func TestBoundsHops(t *testing.T) {
	l := New(1)
	for range 2 * MaxHops {
		l.Add("a", Hop{})
	}
	if hops, _ := l.Of("a"); len(hops) != MaxHops {
		t.Errorf("%d hops kept, want %d", len(hops), MaxHops)
	}
	New(0).Add("a", Hop{})
}
