package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"agateward/ward"
)

// TestLongPromptsBesideStreams guards against long prompts that are sent to a slow engine
// with running streams, whose callers then wait too long between two events.
func TestLongPromptsBesideStreams(t *testing.T) {
	const gap = 300 * time.Millisecond
	cases := []struct {
		name    string
		protect bool
		prompt  int
		left    time.Duration
		// streams is the number of requests that run at the slow engine, which alone has a
		// free slot.
		streams int
		want    bool
	}{
		{"a short prompt", true, 500, time.Second, 2, true},
		{"a long prompt waits for the fast engine", true, 8000, time.Second, 2, false},
		{"a long prompt beside no stream", true, 8000, time.Second, 0, true},
		{"a long prompt without time to wait", true, 8000, 100 * time.Millisecond, 2, true},
		{"without the option", false, 8000, time.Second, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := Scheduler{Name: "entry-1", DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), Options: Options{ProtectStreams: c.protect}}
			s.SetUpstreams([]ward.Replica{
				{ID: "fast", Service: "s", DataCentre: "a", Address: "fast", Slots: 1},
				{ID: "slow", Service: "s", DataCentre: "a", Address: "slow", Slots: 4},
			}, now)
			s.byID["fast"].ownLoad = 1
			slow := s.byID["slow"]
			slow.ownLoad, slow.latencyRatio, slow.tokenRatio = c.streams, 3, 3
			for _, prompt := range []float64{100, 1000, 2000, 3000, 4000, 5000, 6000} {
				slow.reading.observe(prompt, 0.15+prompt*60e-6)
			}
			j := &Job{ID: 1, Service: "s", Arrived: now, Due: now.Add(c.left), Expires: now.Add(time.Minute), Prompt: c.prompt, Output: 50, MaxGap: gap, Stride: 4}
			if got := s.choose(s.services["s"], j, now) == slow; got != c.want {
				t.Errorf("sent to the slow engine: %v, want %v; expected interruption %v", got, c.want, slow.interruption(j))
			}
		})
	}
}

// TestReading guards against a reading time that is taken from the fixed part of the time to
// the first event.
func TestReading(t *testing.T) {
	var r reading
	if _, ok := r.perToken(); ok {
		t.Error("a time is known before any answer")
	}
	for i := range 20 {
		prompt := float64(500 * (1 + i%5))
		r.observe(prompt, 0.2+prompt*40e-6)
	}
	if got, ok := r.perToken(); !ok || got < 39e-6 || got > 41e-6 {
		t.Errorf("%v s for each token (known: %v), want 40 us", got, ok)
	}
}
