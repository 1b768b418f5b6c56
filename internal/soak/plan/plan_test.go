package plan

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestNew(t *testing.T) {
	faults := []string{"busy", "lost"}
	a, b := New(7, time.Minute, faults), New(7, time.Minute, faults)
	if !reflect.DeepEqual(a, b) {
		t.Error("same seed gives different plans")
	}
	if reflect.DeepEqual(a, New(8, time.Minute, faults)) {
		t.Error("different seeds give the same plan")
	}
	kinds, overlap := make(map[Kind]bool), false
	for seed := range uint64(20) {
		list := New(seed, time.Minute, faults)
		for i, f := range list {
			kinds[f.Kind] = true
			overlap = overlap || i > 0 && list[i-1].At+list[i-1].Duration > f.At
			if f.Kind == PromptCrash || f.Kind == RequestCrash {
				if f.At < settleTime || f.At > settleTime+time.Second || f.At+f.Duration != time.Minute-settleTime {
					t.Fatalf("seed %d: %+v", seed, f)
				}
				continue
			}
			longest := maxDuration
			if f.Kind == UpstreamLimit {
				longest = maxLimitTime
			}
			if f.At < settleTime || f.At > time.Minute-settleTime || f.Duration < minDuration || f.Duration > longest {
				t.Fatalf("seed %d: %+v", seed, f)
			}
		}
	}
	if want := len(weights) + len(answerKinds) + 9; len(kinds) != want || !overlap {
		t.Errorf("%d kinds of %d, overlapping %v", len(kinds), want, overlap)
	}
}

// Guards against failures in a plan of planned work: they excuse lost requests.
func TestPlanned(t *testing.T) {
	kinds := make(map[Kind]bool)
	for seed := range uint64(20) {
		for _, f := range Planned(seed, 20*time.Second) {
			kinds[f.Kind] = true
		}
	}
	want := map[Kind]bool{EntriesStop: true, EntryReload: true, Configure: true, UpstreamSilence: true, EnginesSilence: true}
	if !reflect.DeepEqual(kinds, want) {
		t.Errorf("kinds %v, want %v", kinds, want)
	}
}

func isOfAnswers(f Fault) bool {
	switch f.Kind {
	case UpstreamRanRefused, UpstreamRepeat, EnginesRefuse, UpstreamLeave, UpstreamPause:
		return true
	}
	return false
}

// withoutUpstreamEvents returns the faults of a plan that are neither silences or limits of
// upstreams nor crashes under requests.
func withoutUpstreamEvents(list []Fault) []Fault {
	return slices.DeleteFunc(list, func(f Fault) bool {
		return f.Kind == UpstreamSilence || f.Kind == EnginesSilence || f.Kind == UpstreamLimit || f.Kind == PromptCrash || f.Kind == RequestCrash || f.Kind == UpstreamEndless
	})
}

// Guards against a plan without silences, and against those that no sound upstream has.
func TestSilences(t *testing.T) {
	for seed := range uint64(40) {
		silences := 0
		for _, f := range New(seed, 20*time.Second, []string{"busy"}) {
			if f.Kind != UpstreamSilence {
				continue
			}
			silences++
			if f.Duration < 800*time.Millisecond || f.Duration > 1600*time.Millisecond {
				t.Errorf("seed %d: silence of %s", seed, f.Duration)
			}
		}
		if silences < 4 {
			t.Errorf("seed %d: %d silences in 20 s", seed, silences)
		}
	}
}

// Guards against a plan in which a whole service is never silent, or for longer than the
// callers of a stream wait.
func TestEngineSilences(t *testing.T) {
	n := 0
	for seed := range uint64(40) {
		for _, f := range New(seed, 20*time.Second, []string{"busy"}) {
			if f.Kind != EnginesSilence {
				continue
			}
			n++
			if f.Duration < time.Second || f.Duration > 2200*time.Millisecond {
				t.Errorf("seed %d: silence of %s", seed, f.Duration)
			}
		}
	}
	if n < 40 {
		t.Errorf("%d silences in 40 plans, want one in each", n)
	}
}

// Guards against a plan without wrong answers, and against one in which they crowd out
// the other faults or change those of a seed that found something.
func TestAnswerFaults(t *testing.T) {
	count, variants := make(map[bool]int), make(map[string]bool)
	for seed := range uint64(40) {
		for _, f := range withoutUpstreamEvents(New(seed, 20*time.Second, []string{"busy"})) {
			answer := isOfAnswers(f)
			count[answer]++
			if answer {
				variants[string(f.Kind)+" "+f.Variant] = true
			}
		}
	}
	if len(variants) != 8 {
		t.Errorf("variants %v, want 8", variants)
	}
	if count[true] < 40*2 || 2*count[true] > count[false] {
		t.Errorf("%d faults of answers and %d others", count[true], count[false])
	}
	var first []Kind
	for _, f := range withoutUpstreamEvents(New(1, 20*time.Second, []string{"busy"})) {
		if !isOfAnswers(f) {
			first = append(first, f.Kind)
		}
	}
	if want := []Kind{UpstreamCrash, UpstreamDrain, StoreFault, EntryStop}; !reflect.DeepEqual(first[:4], want) {
		t.Errorf("seed 1 begins with %v, want %v", first[:4], want)
	}
}

// Guards against a plan in which requests under which engines crash come too late or too
// briefly for what they are checked against.
func TestCrashes(t *testing.T) {
	cases := []struct {
		kind   Kind
		length time.Duration
		want   int
	}{
		{PromptCrash, 2 * settleTime, 0}, {PromptCrash, 12 * time.Second, 1}, {PromptCrash, 20 * time.Second, 1},
		{RequestCrash, 2 * settleTime, 0}, {RequestCrash, 12 * time.Second, 1}, {RequestCrash, 20 * time.Second, 1},
	}
	for _, c := range cases {
		for seed := range uint64(40) {
			n := 0
			for _, f := range New(seed, c.length, []string{"busy"}) {
				if f.Kind != c.kind {
					continue
				}
				n++
				if f.At < settleTime || f.At > settleTime+time.Second || f.At+f.Duration != c.length-settleTime {
					t.Errorf("%s, %s, seed %d: %+v", c.kind, c.length, seed, f)
				}
			}
			if n != c.want {
				t.Errorf("%s, %s, seed %d: %d of them, want %d", c.kind, c.length, seed, n, c.want)
			}
		}
	}
}

// Guards against a plan whose limits end before the bound on them holds.
func TestUpstreamLimits(t *testing.T) {
	for _, length := range []time.Duration{12 * time.Second, 20 * time.Second, time.Minute} {
		for seed := range uint64(40) {
			n := 0
			for _, f := range New(seed, length, []string{"busy"}) {
				if f.Kind != UpstreamLimit {
					continue
				}
				n++
				if f.Duration < 5*time.Second || f.At+f.Duration > length-settleTime {
					t.Errorf("%s, seed %d: %+v", length, seed, f)
				}
			}
			if n == 0 {
				t.Errorf("%s, seed %d: no limit", length, seed)
			}
		}
	}
}
