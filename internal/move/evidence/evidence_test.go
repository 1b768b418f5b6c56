package evidence_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"agateward/internal/move/analysis"
	"agateward/internal/move/evidence"
	"agateward/ward"
)

// TestLatencyNormalizedBySize counts answers whose lengths differ by a factor of a
// hundred: the medians of the versions differ by the slowdown of the new one,
// though it gets shorter requests.
func TestLatencyNormalizedBySize(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	r := evidence.Recorder{Entry: "e"}
	for i := range 4000 {
		old := i%2 == 0
		o := ward.Outcome{OK: true, Connected: true, PromptTokens: 50 + rng.IntN(5000), OutputTokens: 5 + rng.IntN(500)}
		version, factor := "v1", 1.0
		if !old {
			version, factor = "v2", 2.0
			o.OutputTokens = 5 + rng.IntN(50)
		}
		seconds := factor * (0.03 + 0.0004*float64(o.PromptTokens) + 0.015*float64(o.OutputTokens)) * (0.8 + 0.4*rng.Float64())
		o.Total = time.Duration(seconds * float64(time.Second))
		if i > 400 {
			r.Observe(evidence.Key{Move: "m@1", Route: "r", Serves: "s", Version: version}, o, old)
		} else {
			r.Observe(evidence.Key{Move: "warm", Route: "r", Version: "v1"}, o, old)
		}
	}
	r.Retain(func(run string) bool { return run == "m@1" })
	counts := r.Counts()
	if len(counts) != 2 {
		t.Fatalf("got %d counts", len(counts))
	}
	if d := medianBucket(counts[1]) - medianBucket(counts[0]); d < 3 || d > 5 {
		t.Errorf("medians differ by %d buckets, want 4 (a factor of two): %v", d, counts)
	}
}

func medianBucket(c ward.Counts) int {
	seen := uint64(0)
	for i, n := range c.Latency {
		seen += n
		if 2*seen >= c.Succeeded {
			return i
		}
	}
	return -1
}

func TestCountedOutcomes(t *testing.T) {
	at := time.Unix(100, 0)
	r := evidence.Recorder{}
	k := evidence.Key{Move: "m"}
	for _, o := range []ward.Outcome{
		{Cancelled: true, Connected: true},
		{Connected: true},
		{Upstream: "u", At: at},
		{Upstream: "u", At: at.Add(time.Second)},
		{Upstream: "u", At: at.Add(time.Minute)},
	} {
		r.Observe(k, o, false)
	}
	if c := r.Counts()[0]; c.Failed != 3 || c.Succeeded != 0 {
		t.Errorf("got %+v, want 3 failures", c)
	}
}

// Guards against a version that never answers: requests that ended at their deadline or
// with their caller did not count, however long they had taken.
func TestOverdueRequestsFail(t *testing.T) {
	sized := ward.Outcome{OK: true, Connected: true, PromptTokens: 2000, OutputTokens: 100, Total: 200 * time.Millisecond}
	overrun := func(total time.Duration, tokens int) ward.Outcome {
		return ward.Outcome{Cancelled: true, Overrun: true, Connected: true, PromptTokens: 2000, OutputTokens: tokens, Total: total}
	}
	other := overrun(2*time.Second, 100)
	other.Overrun = false
	cases := []struct {
		name    string
		learned int
		o       ward.Outcome
		failed  uint64
	}{
		{"ten times the expected time", 100, overrun(2*time.Second, 100), 1},
		{"within the expected time", 100, overrun(100*time.Millisecond, 100), 0},
		{"cancelled for another reason", 100, other, 0},
		{"no expected time", 1, overrun(2*time.Second, 100), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := evidence.Recorder{}
			for range c.learned {
				r.Learn("r", sized)
			}
			r.Observe(evidence.Key{Move: "m@1", Route: "r", Version: "v2"}, c.o, false)
			failed := uint64(0)
			for _, x := range r.Counts() {
				failed += x.Failed
			}
			if failed != c.failed {
				t.Errorf("%d failures, want %d", failed, c.failed)
			}
		})
	}
}

// Guards against answers whose expected time is not known: their ratio to a built-in
// time put both versions into the lowest bucket.
func TestNoLatencyBeforeExpectedTime(t *testing.T) {
	r := evidence.Recorder{}
	o := ward.Outcome{OK: true, Connected: true, PromptTokens: 2000, OutputTokens: 100, Total: 200 * time.Millisecond}
	k := evidence.Key{Move: "m@1", Route: "r", Version: "v1"}
	for range 40 {
		r.Observe(k, o, true)
	}
	c := r.Counts()[0]
	timed := uint64(0)
	for i, n := range c.Latency {
		timed += n
		if n > 0 && i != analysis.Bucket(1) && i != analysis.Bucket(0.99) {
			t.Errorf("%d answers of one size and time in bucket %d, want only those of the expected time", n, i)
		}
	}
	if c.Succeeded != 40 || timed == 0 || timed == 40 {
		t.Errorf("%d answers, %d with a latency; want 40, and fewer with one", c.Succeeded, timed)
	}
}
