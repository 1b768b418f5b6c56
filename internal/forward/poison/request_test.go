package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a request that crashes each upstream that runs it and that comes again
// at any entry: beside lost and late messages, kills, resets and entries that start anew,
// in a service with few upstreams, for minutes. Later than contact after its third crash
// at most three sends may reach upstreams, trials of it included. Guards also against
// sound requests with the same parts that are refused with it.
func TestBadRequestIsKeptFromUpstreams(t *testing.T) {
	t.Parallel()
	const (
		thirdCrash = 3
		calm       = 4 * time.Second
		length     = 200 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		s := drawSeries.Draw(t, "series")
		s.upstreams = rapid.IntRange(2, 30).Draw(t, "upstreams of a service")
		s.sound, s.kills = s.sound/4, s.kills/4
		f := s.fleet()
		start := f.now
		for f.now.Sub(start) < length {
			f.step()
			f.load(s.sound)
			if f.now.Sub(start) < 30*time.Second {
				f.disturb(s.kills, s.resets, s.restarts)
			}
			if f.now.Sub(start) > calm {
				for range f.arrivals(s.bad) {
					f.badAgain(s.first)
				}
			}
		}
		if len(f.crashes) < thirdCrash {
			return
		}
		bound := f.crashes[thirdCrash-1].Add(contact)
		later := f.sendsAfter(bound)
		if later > maxLater {
			t.Errorf("%d sends of the request after the bound, %d crashes in all", later, len(f.crashes))
		}
		before, after := f.sentShare(s.first, start, start.Add(calm)), f.sentShare(s.first, bound.Add(contact), f.now)
		if 2*after < before {
			t.Errorf("%.2f of the sound requests with the same first part were sent, %.2f before", after, before)
		}
	})
}

// Guards against a request that callers send often and that is refused as upstreams ended
// together while they ran it, and against one that is sound again and stays refused.
func TestSoundRequestIsNotBlocked(t *testing.T) {
	request := Content{Digest: 7}
	alone := Fleet{Entries: 1}
	cases := []struct {
		name string
		// answered is the time of the last answer before the crashes, 0 for none; interval
		// that between the crashes.
		answered, interval time.Duration
		crashes            int
		blocked            bool
	}{
		{"never answered", 0, 10 * time.Millisecond, 3, true},
		{"two crashes", 0, time.Second, 2, false},
		{"rack under a frequent request", time.Second, 10 * time.Millisecond, 6, false},
		{"frequent request, one crash after the other", time.Second, 3 * time.Second, 3, true},
		{"answered a while ago", time.Minute, 10 * time.Millisecond, 3, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tr Tracker
			if c.answered > 0 {
				tr.Answered(v1, request, start.Add(-c.answered))
			}
			now := start
			for i := range c.crashes {
				tr.Crashed(v1, process(i), request, now)
				now = now.Add(c.interval)
			}
			if v := tr.Barred(v1, request, alone, now); v.Blocked != c.blocked {
				t.Errorf("blocked %v, want %v", v.Blocked, c.blocked)
			}
			v := tr.Check(v2, request, alone, now.Add(firstRequestTrial))
			if v.Blocked {
				t.Fatal("still blocked when a trial is due")
			}
			tr.Answered(v2, request, now.Add(firstRequestTrial+time.Second))
			if v := tr.Barred(v1, request, alone, now.Add(firstRequestTrial+2*time.Second)); v.Blocked {
				t.Error("blocked after an answer")
			}
		})
	}
}

// Guards against a trial that other entries learn of only by its outcome: a request that
// runs for long before its upstream crashes would be tried by one entry after the other.
func TestTrialIsKnownBeforeItsOutcome(t *testing.T) {
	request := Content{Digest: 7}
	var a, b Tracker
	now := start
	for i := range blockCrashes {
		a.Crashed(v1, process(i), request, now)
	}
	b.Merge(a.Reports(now), now)
	now = now.Add(firstRequestTrial + 10*trialStagger)
	tried := a.Tried(a.Check(v1, request, Fleet{Entries: 2}, now).Trial, now)
	if len(tried) != 1 {
		t.Fatalf("%d suspects are tried, want 1", len(tried))
	}
	b.Merge(a.ReportsOf(tried, now), now.Add(time.Second))
	if v := b.Check(v1, request, Fleet{Entries: 2, Index: 1}, now.Add(time.Second)); !v.Blocked {
		t.Error("a second entry tries the request beside the first")
	}
}

func BenchmarkCheck(b *testing.B) {
	var t Tracker
	now := start
	for i := range maxSuspects {
		t.Crashed(v1, process(i), Content{Digest: uint64(1 + i)}, now)
	}
	for i := range blockCrashes {
		t.Crashed(v1, process(i), Content{Digest: 1}, now)
	}
	c := Content{Parts: []uint64{0xa0, 0xa1, 0xa2}, Digest: 1 << 40}
	b.ReportAllocs()
	for b.Loop() {
		t.Check(v1, c, Fleet{Entries: 8}, now)
	}
}

// Guards against news that does not reach all entries of a large fleet in time: entries
// tell few others at once, and messages are lost and late.
func TestBadRequestInLargeFleet(t *testing.T) {
	t.Parallel()
	const (
		thirdCrash = 3
		length     = 45 * time.Second
	)
	cases := []struct {
		name               string
		entries, upstreams int
		loss               float64
		delay              time.Duration
		bad                float64
	}{
		{"no loss", 400, 100, 0, 50 * time.Millisecond, 20},
		{"lost and late messages", 400, 100, 0.2, 500 * time.Millisecond, 20},
		{"few upstreams", 200, 5, 0.1, 200 * time.Millisecond, 40},
		{"a request now and then", 400, 100, 0.2, 200 * time.Millisecond, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(rand.New(rand.NewPCG(1, 2)), c.entries, c.upstreams)
			f.loss, f.delay = c.loss, c.delay
			start := f.now
			for f.now.Sub(start) < length {
				f.step()
				f.load(200)
				f.disturb(0.1, 0.5, 0.2)
				for range f.arrivals(c.bad) {
					f.badAgain(0)
				}
			}
			if len(f.crashes) < thirdCrash {
				t.Fatalf("%d crashes, want %d or more", len(f.crashes), thirdCrash)
			}
			later := f.sendsAfter(f.crashes[thirdCrash-1].Add(contact))
			if later > maxLater {
				t.Errorf("%d sends of the request after the bound, %d crashes in all", later, len(f.crashes))
			}
		})
	}
}
