package batch

import (
	"fmt"
	"math"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/ward"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drain runs an engine until it is idle.
func drain(e *Engine) []Event {
	var all []Event
	for next := e.Next(); !next.IsZero(); next = e.Next() {
		all = append(all, e.Advance(next)...)
	}
	return all
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func TestTimes(t *testing.T) {
	base := Profile{PrefillRate: 1000, DecodeBase: 10 * time.Millisecond, DecodePerSequence: time.Millisecond}
	prefix := []uint64{1, 2}
	tests := []struct {
		name  string
		fault []Fault
		jobs  []Job
		last  Event
	}{
		{name: "one", jobs: []Job{{ID: "a", Prompt: 1000, Output: 101}}, last: Event{At: start.Add(seconds(1 + 100*0.011)), Kind: Done, Tokens: 101}},
		{name: "one token", jobs: []Job{{ID: "a", Prompt: 1000, Output: 1}}, last: Event{At: start.Add(seconds(1)), Kind: Done, Tokens: 1}},
		{name: "resumed", jobs: []Job{{ID: "a", Prompt: 1000, Output: 101, Resume: 50}}, last: Event{At: start.Add(seconds(1.05 + 50*0.011)), Kind: Done, Tokens: 101}},
		{name: "cached prefix", jobs: []Job{{ID: "a", Prompt: 1000, Output: 1, Prefix: prefix}, {ID: "b", Prompt: 1000, Output: 1, Prefix: prefix}}, last: Event{At: start.Add(seconds(1 + 0.488)), Kind: Done, Tokens: 1}},
		{name: "slow route", fault: []Fault{{Route: "x", Slow: 2}}, jobs: []Job{{ID: "a", Route: "x", Prompt: 1000, Output: 101}}, last: Event{At: start.Add(seconds(2 + 200*0.011)), Kind: Done, Tokens: 101}},
		{name: "other route", fault: []Fault{{Route: "y", Slow: 2}}, jobs: []Job{{ID: "a", Route: "x", Prompt: 1000, Output: 1}}, last: Event{At: start.Add(seconds(1)), Kind: Done, Tokens: 1}},
		{name: "fails", fault: []Fault{{Version: "v2", FailShare: 1}}, jobs: []Job{{ID: "a", Version: "v2", Prompt: 1000, Output: 9}}, last: Event{At: start.Add(seconds(1)), Kind: Failed}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := base
			p.Faults = tt.fault
			p.MaxBatch = 1
			e := New(p)
			for _, j := range tt.jobs {
				e.Admit(start, j)
			}
			all := drain(e)
			got := all[len(all)-1]
			if got.Kind != tt.last.Kind || got.Tokens != tt.last.Tokens || got.At.Sub(tt.last.At).Abs() > time.Microsecond {
				t.Errorf("last event %+v, want %+v", got, tt.last)
			}
		})
	}
}

func TestLateEventsHaveGaps(t *testing.T) {
	e := New(Profile{CacheGap: 2, CacheTokens: 2 * ward.PrefixBlockTokens})
	e.Admit(start, Job{ID: "a", Prompt: 900, Output: 1, Prefix: []uint64{1, 2, 3}})
	e.Advance(start.Add(500 * time.Millisecond))
	if got := e.CacheEvents(0); len(got) != 0 {
		t.Errorf("events before the lag: %v", got)
	}
	e.Advance(start.Add(2 * time.Second))
	if got := e.CacheEvents(0); len(got) != 1 || got[0].Sequence != 1 {
		t.Errorf("events %v, want sequence 1 alone", got)
	}
}

// TestEachJobEndsOnce checks over generated schedules that each job ends in
// exactly one way, that time does not go back, and that the totals add up.
func TestEachJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Profile{MaxBatch: rapid.IntRange(1, 4).Draw(t, "batch"), Faults: []Fault{{FailShare: 0.2}}})
		now := start
		ended := map[string]int{}
		first := map[string]int{}
		prompts := 0
		last := start
		take := func(events []Event) {
			for _, v := range events {
				if v.At.Before(last) {
					t.Fatalf("event at %v after one at %v", v.At, last)
				}
				last = v.At
				if v.Kind == FirstToken {
					first[v.ID]++
				} else {
					ended[v.ID]++
				}
			}
		}
		n := rapid.IntRange(1, 20).Draw(t, "n")
		cancelled := map[string]bool{}
		for i := range n {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			j := Job{ID: fmt.Sprint(i), Prompt: rapid.IntRange(0, 3000).Draw(t, "prompt"), Output: rapid.IntRange(0, 50).Draw(t, "output")}
			prompts += max(j.Prompt, 1)
			e.Admit(now, j)
			take(e.Advance(now))
			if id := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "cancel")); rapid.Bool().Draw(t, "really") && ended[id] == 0 && !cancelled[id] {
				e.Cancel(now, id)
				cancelled[id] = true
			}
		}
		take(drain(e))
		for i := range n {
			id := fmt.Sprint(i)
			if cancelled[id] == (ended[id] == 1) || first[id] > 1 {
				t.Fatalf("job %s: cancelled %v, ended %d times, %d first tokens", id, cancelled[id], ended[id], first[id])
			}
		}
		s := e.Stats()
		if s.Done+s.Failed+s.Cancelled != n || e.Outstanding() != 0 {
			t.Fatalf("%+v of %d jobs, %d outstanding", s, n, e.Outstanding())
		}
		if s.Prefilled > float64(prompts)+1e-3 || s.Wasted > s.Prefilled+1e-3 || math.IsNaN(s.Prefilled) {
			t.Fatalf("%+v with %d prompt tokens", s, prompts)
		}
	})
}

func BenchmarkJob(b *testing.B) {
	e := New(Profile{})
	now := start
	for i := range b.N {
		now = now.Add(60 * time.Millisecond)
		e.Admit(now, Job{ID: fmt.Sprint(i), Prompt: 500, Output: 200})
		e.Advance(now)
	}
}
