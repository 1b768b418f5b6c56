package poison

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests with a part that crashed one version and that reach a new one
// all at once, or not at all.
func TestNewVersionIsTriedByOneRequestAtATime(t *testing.T) {
	// The first request is tried at once; the next ones follow after 20 s and 40 s.
	const maxTried = 2
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		trackers := make([]Tracker, entries)
		now := crash(&trackers[0], v1, badPart, rapid.IntRange(blockCrashes, 2*maxCrashes).Draw(t, "crashes"), start)
		for i := range entries {
			trackers[i].Merge(trackers[0].Reports(now), now)
		}
		crashes := 0
		for begin := now; now.Sub(begin) < 55*time.Second; {
			now = now.Add(100 * time.Millisecond)
			running := 0
			for i := range entries {
				v := trackers[i].Check(v2, partsOf(firstPart, badPart), Fleet{Entries: entries, Index: i}, now)
				if v.Blocked {
					continue
				}
				if running++; running > 1 {
					t.Fatalf("%d requests try the new version at once", running)
				}
				if again := trackers[i].Check(v2, partsOf(badPart), Fleet{Entries: entries, Index: i}, now); !again.Blocked {
					t.Fatal("a second request of the entry tries it too")
				}
				crashes++
				trackers[i].Crashed(v2, process(1000+crashes), partsOf(firstPart, badPart), now.Add(100*time.Millisecond))
				for k := range entries {
					trackers[k].Merge(trackers[i].Reports(now.Add(100*time.Millisecond)), now.Add(200*time.Millisecond))
				}
			}
		}
		if crashes < 1 || crashes > maxTried {
			t.Errorf("%d requests tried the new version in 55 s, at most %d may", crashes, maxTried)
		}
	})
}
