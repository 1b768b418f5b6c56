package returns

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet is a fleet of books whose messages may be lost, late, doubled or cut off.
type fleet struct {
	t       *rapid.T
	now     time.Time
	books   []*Book
	process []int
	side    []int
	mail    []mail
	// used holds the uses by entry, process and promise; told what an entry knows as used.
	used, told map[string]bool
	given      map[uint64]time.Time
	// promised counts the promises by entry, process and interval.
	promised map[string]int
	digests  uint64
}

type mail struct {
	at       time.Time
	from, to int
	news     News
}

const ratePerSecond = 6

func (f *fleet) restart(i int) {
	f.process[i]++
	f.books[i] = &Book{Seed: uint64(i)<<32 + uint64(f.process[i])<<20}
}

func (f *fleet) id(i int, k any) string { return fmt.Sprint(i, f.process[i], k) }

// refuse has an entry refuse new requests, as far as there is room for a promise.
func (f *fleet) refuse(i int) {
	for range rapid.IntRange(1, 20).Draw(f.t, "refusals") {
		b := f.books[i]
		from, ok := b.Reserve(Room{Service: "menus", PerSecond: ratePerSecond, Latest: 2 * time.Second, Spread: 0.5}, f.now)
		if !ok {
			return
		}
		f.digests++
		p, ok := b.Give(Promise{Key: Key{Digest: f.digests}, Service: "menus", Arrived: f.now, From: from}, f.now)
		if !ok {
			f.t.Fatalf("no promise in reserved room")
		}
		f.given[f.digests] = f.now
		interval := f.id(i, indexOf(p.From))
		if f.promised[interval]++; float64(f.promised[interval]) > math.Ceil(ratePerSecond*Interval.Seconds()) {
			f.t.Fatalf("%d promises for one interval", f.promised[interval])
		}
	}
}

// comeBack has callers come back at an entry.
func (f *fleet) comeBack(i int) {
	for range min(f.digests, 8) {
		digest := rapid.Uint64Range(1, f.digests).Draw(f.t, "digest")
		p, ok := f.books[i].Take(digest, f.now)
		if !ok {
			continue
		}
		use := f.id(i, p.Key)
		if f.used[use] || f.told[use] {
			f.t.Fatalf("entry %d served promise %v again", i, p.Key)
		}
		f.used[use] = true
		if age := f.now.Sub(f.given[digest]); age > MaxAge+maxDelay {
			f.t.Fatalf("a promise was used after %v", age)
		}
	}
}

// maxDelay bounds the delay of a message.
const maxDelay = 700 * time.Millisecond

func (f *fleet) tell(i int) {
	n := f.books[i].News(f.now)
	if len(n.Given)+len(n.Used) > MaxNews {
		f.t.Fatalf("%d promises in one message", len(n.Given)+len(n.Used))
	}
	if n.Empty() {
		return
	}
	fault := rapid.IntRange(0, 5).Draw(f.t, "fault")
	for k := range f.books {
		copies := 1
		switch {
		case k == i || f.side[k] != f.side[i] || fault == 0 && k%2 == 0:
			copies = 0
		case fault == 1:
			copies = 2
		}
		for c := range copies {
			delay := time.Duration(k*37%100+c*50) * time.Millisecond
			if fault == 2 {
				delay = maxDelay
			}
			f.mail = append(f.mail, mail{f.now.Add(delay), i, k, n})
		}
	}
}

func (f *fleet) pass() {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(f.t, "ms")) * time.Millisecond)
	kept := f.mail[:0]
	for _, m := range f.mail {
		if m.at.After(f.now) {
			kept = append(kept, m)
			continue
		}
		f.books[m.to].Learn(m.news, f.now)
		for _, k := range m.news.Used {
			f.told[f.id(m.to, k)] = true
		}
	}
	f.mail = kept
}

// TestBooks guards against promises that are used twice at an entry that knows better,
// outlive their time, pile up, or exceed the room, in fleets of 1 to 400 entries with lost,
// late and doubled messages, partitions and restarts.
func TestBooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.OneOf(rapid.IntRange(1, 12), rapid.IntRange(13, 400)).Draw(t, "entries")
		f := &fleet{t: t, now: start, books: make([]*Book, n), process: make([]int, n), side: make([]int, n),
			used: make(map[string]bool), told: make(map[string]bool), given: make(map[uint64]time.Time), promised: make(map[string]int)}
		for i := range n {
			f.restart(i)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "entry")
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0, 1, 2:
				f.refuse(i)
				f.tell(i)
			case 3, 4, 5:
				f.comeBack(i)
				f.tell(i)
			case 6:
				f.restart(i)
			case 7:
				f.side[i] = 1 - f.side[i]
			default:
				f.pass()
			}
		}
		f.mail = nil
		for i, b := range f.books {
			if open := b.Len(f.now); open > int(f.digests) || open > MaxPromises {
				t.Fatalf("entry %d holds %d promises of %d", i, open, f.digests)
			}
			if open := b.Len(f.now.Add(MaxAge)); open > 0 || len(b.used) > 0 || len(b.reserved) > 0 {
				t.Fatalf("entry %d holds %d promises, %d used and %d reserved after %v", i, open, len(b.used), len(b.reserved), MaxAge)
			}
		}
	})
}

// Guards against a book that grows without bound when nothing is told and nobody comes.
func TestBookIsBounded(t *testing.T) {
	var b Book
	for i := range uint64(3 * MaxPromises) {
		b.Learn(News{Given: []Given{{Key: Key{Digest: i, ID: 1}, Ahead: 300}}, Used: []Key{{Digest: i, ID: 2}}}, start)
		b.Give(Promise{Key: Key{Digest: i + 1<<40}, From: ms(400)}, start)
	}
	if n := b.Len(start); n != MaxPromises || len(b.used) > MaxPromises || len(b.given) > MaxPromises {
		t.Errorf("%d promises, %d used, %d to tell", n, len(b.used), len(b.given))
	}
}
