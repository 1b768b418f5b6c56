package poison

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against sound requests that are refused without any bad part: after kills,
// resets, a rack that ends at once and a service that is down, few are refused, and none
// later than the delay of a first trial, the turns of all entries and an answer.
func TestSoundPartsAreNotBlocked(t *testing.T) {
	t.Parallel()
	const (
		disturbed  = 12 * time.Second
		maxRefused = 0.03
	)
	rapid.Check(t, func(t *rapid.T) {
		s := drawSeries.Draw(t, "series")
		s.entries = min(s.entries, 6)
		rack := rapid.IntRange(0, s.upstreams).Draw(t, "upstreams of the rack")
		outage := time.Duration(rapid.IntRange(1000, 4000).Draw(t, "outage in ms")) * time.Millisecond
		f := s.fleet()
		start := f.now
		bound := firstTrial + time.Duration(s.entries)*trialStagger + 2*s.answer
		for f.now.Sub(start) < disturbed+bound+2*time.Second {
			f.step()
			f.load(s.sound)
			switch at := f.now.Sub(start); {
			case at < disturbed:
				f.disturb(s.kills, s.resets, s.restarts)
				if at > 4*time.Second && at <= 4*time.Second+100*time.Millisecond {
					f.endShare(rack/5, 2*time.Second)
				}
				if at > 8*time.Second && at <= 8*time.Second+tick {
					f.endShare(len(f.upstreams), outage)
				}
			}
		}
		refused := 0
		for _, a := range f.sound {
			if a.sent {
				continue
			}
			refused++
			if late := a.at.Sub(start) - disturbed; late > bound {
				t.Errorf("a request with part %x was refused %v after the disturbances", middlePart+a.part, late)
			}
		}
		if limit := 3 + maxRefused*float64(len(f.sound)); float64(refused) > limit {
			t.Errorf("%d of %d sound requests were refused", refused, len(f.sound))
		}
	})
}

// endShare ends some upstreams that are up.
func (f *simFleet) endShare(n int, down time.Duration) {
	for range n {
		if u := f.anyUp(); u != nil {
			f.end(u, down)
		}
	}
}
