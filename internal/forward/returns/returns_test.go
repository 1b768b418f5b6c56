package returns

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// give has a book promise a return at from to a request that arrived at start.
func give(t *testing.T, b *Book, digest uint64, from time.Time) Promise {
	t.Helper()
	p, ok := b.Give(Promise{Key: Key{Digest: digest}, Service: "menus", Arrived: start, From: from}, start)
	if !ok {
		t.Fatalf("no promise for %d", digest)
	}
	return p
}

// Guards against requests that are taken for returns, and returns that are not recognized.
func TestTake(t *testing.T) {
	cases := []struct {
		name   string
		digest uint64
		at     int
		want   bool
	}{
		{"on time", 1, 400, true},
		{"within the tolerance before", 1, 351, true},
		{"too early", 1, 349, false},
		{"late", 1, 1899, true},
		{"after the window", 1, 1900, false},
		{"another request", 2, 400, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var refused, other Book
			give(t, &refused, 1, ms(400))
			if n := other.Learn(refused.News(start), start); n != 0 {
				t.Fatalf("%d ignored", n)
			}
			for _, b := range []*Book{&refused, &other} {
				p, ok := b.Take(c.digest, ms(c.at))
				if ok != c.want {
					t.Fatalf("recognized %v, want %v", ok, c.want)
				}
				if ok && !p.Arrived.Equal(start) {
					t.Errorf("first arrival %v, want %v", p.Arrived, start)
				}
				if _, again := b.Take(c.digest, ms(c.at)); again {
					t.Error("the promise was used twice")
				}
			}
		})
	}
}

// Guards against a caller that repeats at once and collects promises, or loses its own.
func TestEarlyRepeatKeepsItsPromise(t *testing.T) {
	var b Book
	first := give(t, &b, 1, ms(400))
	from, ok := b.Reserve(Room{Service: "menus", PerSecond: 100, Latest: time.Second}, ms(10))
	if !ok {
		t.Fatal("no room")
	}
	p, ok := b.Give(Promise{Key: Key{Digest: 1}, Service: "menus", Arrived: ms(10), From: from}, ms(10))
	if !ok || p != first || b.Len(ms(10)) != 1 {
		t.Errorf("%+v of %d promises, want the first one alone: %+v", p, b.Len(ms(10)), first)
	}
	if n := b.Reserved("menus", [2]int{}, start, ms(5000)); n != 0 {
		t.Errorf("%d places stay reserved for the second one", n)
	}
}

// Guards against news of a used promise that overtakes the promise itself, which would then
// be used twice.
func TestUseBeforePromise(t *testing.T) {
	var refused, served, third Book
	give(t, &refused, 1, ms(400))
	promised := refused.News(start)
	served.Learn(promised, start)
	if _, ok := served.Take(1, ms(400)); !ok {
		t.Fatal("not recognized")
	}
	third.Learn(served.News(ms(400)), ms(401))
	third.Learn(promised, ms(402))
	if _, ok := third.Take(1, ms(800)); ok {
		t.Error("the used promise was used again")
	}
}

// Guards against messages that would fill or disturb the book: a faulty peer's promises are
// ignored and counted.
func TestLearnIgnoresInvalidNews(t *testing.T) {
	cases := []struct {
		name    string
		news    News
		ignored int
	}{
		{"far ahead", News{Given: []Given{{Key: Key{1, 1}, Ahead: 3600_000}}}, 1},
		{"long lapsed", News{Given: []Given{{Key: Key{1, 1}, Ahead: -1501}}}, 1},
		{"arrives in the future", News{Given: []Given{{Key: Key{1, 1}, Waited: -1}}}, 1},
		{"arrived days ago", News{Given: []Given{{Key: Key{1, 1}, Waited: 1 << 62}}}, 1},
		{"too many", News{Given: make([]Given, MaxNews+3), Used: make([]Key, MaxNews+1)}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b Book
			if n := b.Learn(c.news, start); n != c.ignored {
				t.Errorf("%d ignored, want %d", n, c.ignored)
			}
			if n := b.Len(start); n > 1 {
				t.Errorf("%d promises", n)
			}
		})
	}
}

// Guards against promises that bring many callers back at once, or none: over time the
// places follow the rate, also below one in an interval.
func TestReserveFollowsTheRoom(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 1, 3.7, 40} {
		var b Book
		given := 0
		for at := range 10_000 {
			if at%5 != 0 {
				continue
			}
			// A rate that changes a little with each refusal is no further room.
			r := Room{Service: "menus", PerSecond: rate * (1 + float64(at%7)*1e-4), Latest: 800 * time.Millisecond}
			from, ok := b.Reserve(r, ms(at))
			if !ok {
				continue
			}
			given++
			if d := from.Sub(ms(at)); d < MinAhead || d > r.Latest {
				t.Fatalf("rate %v: a return in %v", rate, d)
			}
		}
		if want := 10.5 * rate; float64(given) < 0.9*want-2 || float64(given) > 1.05*want+2 {
			t.Errorf("rate %v: %d places in 10 s, want about %.0f", rate, given, want)
		}
	}
}
