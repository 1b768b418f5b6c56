package poison

import (
	"fmt"
	"testing"
	"time"

	"agateward/internal/forward/schedule"
)

var start = time.Unix(1000, 0)

// partsOf returns the content of a request whose prompt has the given parts.
func partsOf(ids ...uint64) Content { return Content{Parts: ids} }

func process(n int) schedule.Identity { return schedule.Identity{ID: fmt.Sprint("i-", n)} }

// crash records n crashes under a part, with an answer to another request before each.
func crash(t *Tracker, to Target, part uint64, n int, now time.Time) time.Time {
	for i := range n {
		now = now.Add(minCrashGap)
		t.Answered(to, partsOf(), now)
		now = now.Add(minCrashGap)
		t.Crashed(to, process(i), partsOf(part), now)
	}
	return now
}

// Guards against crashes that a whole answer has cleared and that come back with a late
// message: its ages don't hold the time that it travelled.
func TestClearedCrashStaysCleared(t *testing.T) {
	var a, b Tracker
	now := crash(&a, v1, firstPart, 4, start)
	late := a.Reports(now)
	b.Merge(late, now)
	b.Answered(v1, partsOf(firstPart), now.Add(100*time.Millisecond))
	now = now.Add(400 * time.Millisecond)
	b.Merge(late, now)
	if n := b.Count(Suspect{Target: v1, ID: firstPart}); n != 0 {
		t.Errorf("%d crashes count after an answer, want 0", n)
	}
	var c Tracker
	c.Answered(v1, partsOf(firstPart), now)
	c.Merge(late, now.Add(-time.Millisecond)) // the crashes are from before the answer
	c.Merge(late, now.Add(300*time.Millisecond))
	if n := c.Count(Suspect{Target: v1, ID: firstPart}); n != 0 {
		t.Errorf("%d crashes from before an answer count, want 0", n)
	}
}

// Guards against a report whose count has no crashes behind it.
func TestReportedCountNeedsItsCrashes(t *testing.T) {
	var a Tracker
	p := Suspect{Target: v1, ID: firstPart}
	a.Merge([]Report{{Suspect: p, Count: 8, Crashes: []Crash{{Process: process(1)}}, AnsweredAge: -1, TargetAge: -1}}, start)
	if n := a.Count(p); n != 1 {
		t.Errorf("%d crashes count after a report of one, want 1", n)
	}
}

// Guards against messages without end: entries that tell each other the crashes that the
// other one dropped, as each keeps the last ones only.
func TestManyCrashesSettle(t *testing.T) {
	const (
		rounds = 20
		travel = 10 * time.Millisecond
	)
	var a, b Tracker
	now := start
	for i := range 2 * maxCrashes {
		now = now.Add(time.Millisecond)
		a.Crashed(v1, process(i), partsOf(badPart), now)
		b.Crashed(v1, process(100+i), partsOf(badPart), now)
	}
	last := 0
	for i := range rounds {
		fromA, fromB := a.Reports(now), b.Reports(now)
		now = now.Add(travel)
		if len(b.Merge(fromA, now))+len(a.Merge(fromB, now)) > 0 {
			last = i
		}
	}
	if last > rounds/2 {
		t.Errorf("round %d still brought news", last)
	}
}

// Guards against upstreams that end together and count as several crashes of a sound
// part: the others of a rack answer meanwhile, and reports of answers from before arrive
// between those of the crashes.
func TestUpstreamsThatEndTogetherAreOneCrash(t *testing.T) {
	p := Suspect{Target: v1, ID: firstPart}
	var rack, late Tracker
	rack.Answered(v1, partsOf(firstPart), start)
	late.Answered(v1, partsOf(firstPart), start)
	now := start
	for i := range 5 {
		now = now.Add(25 * time.Millisecond)
		rack.Answered(v1, partsOf(middlePart), now)
		rack.Crashed(v1, process(i), partsOf(firstPart), now.Add(5*time.Millisecond))
		now = now.Add(25 * time.Millisecond)
		late.Merge([]Report{{Suspect: p, Count: 1, Crashes: []Crash{{Process: process(i)}}, AnsweredAge: -1, TargetAge: 0}}, now)
	}
	if n := rack.Count(p); n > 2 {
		t.Errorf("%d crashes of a rack count", n)
	}
	if n := late.Count(p); n != 1 {
		t.Errorf("%d crashes count with late reports of answers, want 1", n)
	}
}
