package limit

import (
	"testing"
	"time"

	"agateward/ward"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func rate(r float64) ward.RateLimit { return ward.RateLimit{Limited: true, PerSecond: r} }

// observation is an answer that arrives at now, to a request that was sent at sent, in
// seconds.
type observation struct {
	sent, now float64
	says      ward.RateLimit
}

func TestObserve(t *testing.T) {
	cases := []struct {
		name    string
		answers []observation
		want    State
	}{
		{"never named", []observation{{0, 1, ward.RateLimit{}}}, State{}},
		{"named by a request from before", []observation{{0, 1, rate(2)}}, State{1, true, 2}},
		{"said again", []observation{{0, 1, rate(2)}, {2, 3, rate(2)}}, State{1, true, 2}},
		{"ended", []observation{{0, 1, rate(2)}, {2, 3, ward.RateLimit{}}}, State{2, false, 0}},
		{"an older answer does not end it", []observation{{0, 1, rate(2)}, {0.5, 3, ward.RateLimit{}}}, State{1, true, 2}},
		{"an older answer does not loosen it", []observation{{0, 1, rate(2)}, {0.5, 3, rate(3)}}, State{1, true, 2}},
		{"an older answer tightens it", []observation{{0, 1, rate(2)}, {0.5, 3, rate(1)}}, State{2, true, 1}},
		{"an older answer does not set it again", []observation{{0, 1, rate(2)}, {2, 3, ward.RateLimit{}}, {2.5, 4, rate(2)}}, State{2, false, 0}},
		{"named again", []observation{{0, 1, rate(2)}, {2, 3, ward.RateLimit{}}, {3.5, 4, rate(2)}}, State{3, true, 2}},
		{"an unreadable value changes nothing", []observation{{0, 1, rate(2)}, {2, 3, ward.RateLimit{Unknown: true, Fault: "x"}}}, State{1, true, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l Limit
			for _, o := range c.answers {
				l.Observe(o.says, at(o.sent), at(o.now))
			}
			if got, _ := l.State(); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestCold guards against a cold process that gets the requests saved before it turned cold,
// more than the lower of its two parts, or requests of an entry without a part; and against
// one that stays paced when it is warm.
func TestCold(t *testing.T) {
	tests := []struct {
		name        string
		named, part float64 // a limit that the process named, and this entry's part
		coldPart    float64
		cold, warm  int // requests sent in 3 s while cold and in 1 s after it, of 100 a second
	}{
		{"cold alone", 0, 0, 2, 5, 100},
		{"without a part", 0, 0, 0, 0, 100},
		{"a lower limit", 4, 1, 2, 2, 1},
		{"a higher limit", 40, 20, 2, 5, 20},
		{"no part of the limit", 4, 0, 2, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l Limit
			now := time.Unix(1000, 0)
			if tt.named > 0 {
				l.Merge(State{Version: 1, Limited: true, PerSecond: tt.named}, now)
				l.SetPart(tt.part, now)
				now = now.Add(10 * time.Second) // saves a request
			}
			l.SetColdPart(tt.coldPart, now)
			if !l.Cool(now.Add(3*time.Second), now) || l.Cool(now.Add(time.Second), now) {
				t.Error("it turns cold once")
			}
			send := func(n int) int {
				sent := 0
				for range n {
					if l.Take(now) {
						sent++
					}
					now = now.Add(10 * time.Millisecond)
				}
				return sent
			}
			if got := send(300); got != tt.cold {
				t.Errorf("%d requests in 3 s while cold, want %d", got, tt.cold)
			}
			if got := send(100); got < tt.warm-1 || got > tt.warm+1 {
				t.Errorf("%d requests in the second after it, want %d", got, tt.warm)
			}
		})
	}
}

// Guards against a rate that is hardly more than 0 and makes the wait overflow.
func TestWaitAtLeastRate(t *testing.T) {
	var l Limit
	l.Observe(rate(1e-300), at(0), at(1))
	l.SetPart(1e-300, at(1))
	l.Take(at(2))
	if wait, ok := l.Wait(at(2)); !ok || wait != maxWait {
		t.Errorf("wait %v, %v, want %v", wait, ok, maxWait)
	}
}
