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
			t.UpdatePeer("p", 0, start.Add(350*ms))
			return start.Add(400 * ms)
		}, true},
		{"peers heard the last bytes before a pause of all", func(t *Tracker) time.Time {
			t.Heard(start)
			t.Failed("a", start.Add(10*ms))
			t.Failed("b", start.Add(200*ms))
			t.UpdatePeer("p", 300*ms, start.Add(400*ms))
			return start.Add(900 * ms)
		}, false},
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
			now := c.play(&tr)
			tr.Update(now)
			tr.Update(now.Add(confirmTime))
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

// Guards against a data centre whose entries are all cut off, so that no peer can show it:
// one request at a time asks an entry of another data centre.
func TestTrialOfAnotherEntry(t *testing.T) {
	var tr Tracker
	now := start
	tr.Failed("a", now)
	if tr.TrialDue(now) {
		t.Error("a trial after one failure")
	}
	tr.Failed("b", now)
	trials := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		tr.Update(now)
		if tr.TrialDue(now) {
			trials++
		}
	}
	if want := int(time.Second / trialInterval); trials < want/2 || trials > want+1 {
		t.Errorf("%d trials in a second, want about %d", trials, want)
	}
	tr.UpdatePeer("10.9.0.1:7600", 0, now)
	tr.Update(now)
	if tr.Update(now.Add(confirmTime)) != Lost {
		t.Error("not lost after another entry served a request")
	}
}

// Guards against links that flap: each loss soon after the end of one lengthens the time
// until the next probe.
func TestProbesSlowDown(t *testing.T) {
	var tr Tracker
	now := start
	for i, want := range []time.Duration{minProbe, 2 * minProbe, 4 * minProbe, maxProbe, maxProbe} {
		tr.Failed("a", now)
		tr.Failed("b", now)
		now = now.Add(minQuiet + time.Millisecond)
		tr.UpdatePeer("p", 0, now)
		tr.Update(now)
		now = now.Add(confirmTime)
		if tr.Update(now) != Lost {
			t.Fatalf("loss %d is not seen", i)
		}
		if tr.ProbeDue(now.Add(want-time.Millisecond)) || !tr.ProbeDue(now.Add(want)) {
			t.Errorf("loss %d: the probe is not due after %v", i, want)
		}
		now = now.Add(want)
		tr.Heard(now)
		tr.Update(now)
		now = now.Add(time.Millisecond)
	}
}

// Guards against entries that take themselves for cut off as all upstreams go on after a
// pause, which some hear a little before the others.
func TestEndOfAPauseIsNoLoss(t *testing.T) {
	var tr Tracker
	tr.Heard(start)
	tr.Failed("a", start.Add(600*time.Millisecond))
	tr.Failed("b", start.Add(600*time.Millisecond))
	now := start.Add(1400 * time.Millisecond)
	tr.UpdatePeer("p", 0, now)
	tr.Update(now)
	now = now.Add(confirmTime / 2)
	tr.Heard(now)
	if tr.Update(now); tr.Lost() {
		t.Error("lost at the end of a pause")
	}
}
