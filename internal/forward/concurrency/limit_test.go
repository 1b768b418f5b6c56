package concurrency

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// upstream is a closed loop: as many requests as the limit allows run, each of the given
// time beside the others.
type upstream struct {
	slowdown float64
	knee     int
	noise    float64
}

func (u upstream) ratio(n int, r *rand.Rand) float64 {
	over := max(float64(n)/float64(u.knee), 1)
	return u.slowdown * over * over * math.Exp(u.noise*r.NormFloat64())
}

// serve runs requests that need half a nominal second each at u until the end.
func serve(l *Limit, u upstream, from, length time.Duration, r *rand.Rand) {
	for now := start.Add(from); now.Before(start.Add(from + length)); {
		n := 1 + r.IntN(l.Value())
		if r.IntN(2) == 0 {
			n = l.Value()
		}
		if n == l.Value() && l.TrialDue(now) {
			l.BeginTrial(now)
			n++
		}
		ratio := u.ratio(n, r)
		now = now.Add(time.Duration(0.5 * ratio / float64(n) * float64(time.Second)))
		l.Observe(n, ratio, now)
		l.Tick(now)
	}
}

// Guards against a knee that is not found, one that is found where there is none, and a
// limit that stays low after its cause is gone.
func TestLimitFollowsUpstream(t *testing.T) {
	tests := []struct {
		name          string
		before, after upstream
		least, most   int
		// settle is how long each of the two is served, 30 s if 0. One entry alone gets few
		// answers of a slow upstream that is far beyond its knee.
		settle time.Duration
	}{
		{"no knee", upstream{1, 8, 0.2}, upstream{1, 8, 0.2}, 8, 8, 0},
		{"slow at any number", upstream{3, 8, 0.2}, upstream{3, 8, 0.2}, 8, 8, 0},
		{"becomes slow at any number", upstream{1, 8, 0.2}, upstream{3, 8, 0.2}, 8, 8, 0},
		{"becomes fast at any number", upstream{3, 8, 0.2}, upstream{1, 8, 0.2}, 8, 8, 0},
		{"scattered times", upstream{1, 8, 0.6}, upstream{1, 8, 0.6}, 7, 8, 0},
		{"a knee", upstream{1, 2, 0.2}, upstream{1, 2, 0.2}, 2, 3, 0},
		{"a knee of a slow one", upstream{3, 2, 0.2}, upstream{3, 2, 0.2}, 2, 3, 45 * time.Second},
		{"a knee comes", upstream{1, 8, 0.2}, upstream{1, 2, 0.2}, 2, 3, 0},
		{"a knee goes", upstream{1, 2, 0.2}, upstream{1, 8, 0.2}, 8, 8, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(10) {
				var l Limit
				l.SetSlots(8, start)
				r := rand.New(rand.NewPCG(seed, 1))
				settle := max(tt.settle, 30*time.Second)
				serve(&l, tt.before, 0, settle, r)
				serve(&l, tt.after, settle, settle, r)
				if v := l.Value(); v < tt.least || v > tt.most {
					t.Errorf("seed %d: limit %d, want %d to %d", seed, v, tt.least, tt.most)
				}
			}
		})
	}
}

// Guards against one or two slow answers that lower the limit.
func TestFewSamplesChangeNothing(t *testing.T) {
	var l Limit
	l.SetSlots(8, start)
	for i := range 2 {
		l.Observe(1, 1, start)
		l.Observe(8, 30, start)
		if l.Value() != 8 {
			t.Fatalf("limit %d after %d answers", l.Value(), 2*(i+1))
		}
	}
}

// Guards against samples that count twice, or get lost with a message.
func TestReportsAreLostLateAndDoubled(t *testing.T) {
	var a, b Limit
	a.SetSlots(8, start)
	b.SetSlots(8, start)
	var reports []Report
	for i := range 40 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		a.Observe(2, 1, now)
		a.Observe(8, 16, now)
		reports = append(reports, a.Report(1, 24, true, now))
	}
	now := start.Add(4 * time.Second)
	b.Merge("a", reports[1], now)
	b.Merge("a", reports[39], now)
	b.Merge("a", reports[39], now)
	b.Merge("a", reports[7], now)
	b.Merge("a", Report{Start: 0, Counts: []Count{{Running: 8, Samples: 1000}}}, now)
	b.Merge("a", Report{Start: 1, Counts: []Count{{Running: -1, Samples: 1000}, {Running: 900, Samples: 1}, {Running: 8, Samples: 1001, Total: math.MaxInt32}}}, now)
	if a.Value() != 2 || b.Value() != 2 {
		t.Errorf("limits %d and %d, want 2", a.Value(), b.Value())
	}
	if w, _, _ := b.Samples(); w > 80 {
		t.Errorf("weight %.1f of 80 samples", w)
	}
}
