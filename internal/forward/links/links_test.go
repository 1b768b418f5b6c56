package links

import (
	"testing"
	"time"

	_ "agateward/internal/bench/seed"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against an entry that takes itself for cut off while its upstreams are down or
// idle, and against one that does not notice.
func TestLost(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name string
		play func(t *Tracker) time.Time
		lost bool
	}{
		{"peers hear upstreams", func(t *Tracker) time.Time {
			t.Heard(start)
			t.Failed("a", start.Add(100*ms))
			t.Failed("b", start.Add(200*ms))
			t.UpdatePeer("p", 0, start.Add(300*ms))
			return start.Add(400 * ms)
		}, true},
		{"never heard any", func(t *Tracker) time.Time {
			t.Failed("a", start.Add(100*ms))
			t.Failed("b", start.Add(200*ms))
			t.UpdatePeer("p", 0, start.Add(300*ms))
			return start.Add(400 * ms)
		}, true},
		{"no peer hears any since", func(t *Tracker) time.Time {
			t.Heard(start)
			t.Failed("a", start.Add(100*ms))
			t.Failed("b", start.Add(200*ms))
			t.UpdatePeer("p", 350*ms, start.Add(400*ms))
			t.UpdatePeer("q", Never, start.Add(400*ms))
			return start.Add(400 * ms)
		}, false},
		{"one upstream is down", func(t *Tracker) time.Time {
			t.Heard(start)
			t.Failed("a", start.Add(100*ms))
			t.Failed("a", start.Add(200*ms))
			t.UpdatePeer("p", 0, start.Add(300*ms))
			return start.Add(400 * ms)
		}, false},
		{"another upstream answers", func(t *Tracker) time.Time {
			t.Failed("a", start.Add(100*ms))
			t.Failed("b", start.Add(200*ms))
			t.Heard(start.Add(250 * ms))
			t.UpdatePeer("p", 0, start.Add(300*ms))
			return start.Add(900 * ms)
		}, false},
		{"the peer is gone", func(t *Tracker) time.Time {
			t.Failed("a", start.Add(100*ms))
			t.UpdatePeer("p", 0, start.Add(150*ms))
			t.Failed("b", start.Add(150*ms).Add(peerTTL))
			return start.Add(200 * ms).Add(peerTTL)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tr Tracker
			tr.Update(c.play(&tr))
			if tr.Lost() != c.lost {
				t.Errorf("lost %v, want %v: %+v", tr.Lost(), c.lost, tr)
			}
		})
	}
}

// Guards against an entry that stays cut off in its own eyes after its links are back, or
// that flaps: any order of evidence, with messages of peers lost and late.
func TestLinksAreRegainedByAByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		now, heard := start, time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				heard = now
				tr.Heard(now)
			case 1:
				tr.Failed(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream"), now)
			case 2:
				tr.UpdatePeer("p", time.Duration(rapid.IntRange(-1, 3000).Draw(t, "age"))*time.Millisecond, now)
			default:
				was := tr.Lost()
				change := tr.Update(now)
				if tr.Lost() != was != (change != Same) {
					t.Fatalf("change %v from %v to %v", change, was, tr.Lost())
				}
				if change == Lost && now.Sub(heard) < minQuiet {
					t.Fatalf("lost %v after an upstream was heard", now.Sub(heard))
				}
				if tr.Lost() && heard.Equal(now) {
					t.Fatal("still lost when an upstream was heard")
				}
			}
		}
		tr.Heard(now)
		tr.Update(now)
		if tr.Lost() {
			t.Fatal("still lost after a byte")
		}
	})
}
