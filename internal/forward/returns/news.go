package returns

import (
	"time"
)

// MaxNews bounds the promises, given and used, of one message.
const MaxNews = 100

// maxWaited bounds the time since the first arrival of a request that a peer may report.
const maxWaited = time.Hour

// News is what an entry tells the others about promises. Times are relative, as the clocks
// of entries differ.
type News struct {
	Given []Given `msgpack:"g,omitempty"`
	Used  []Key   `msgpack:"u,omitempty"`
}

// Given is a promise as it is sent.
type Given struct {
	Key     `msgpack:",inline"`
	Service string `msgpack:"s"`
	Rank    [2]int `msgpack:"r"`
	// Waited is the time since the first arrival in milliseconds, Ahead that until the
	// caller may come back; Ahead is below 0 once it may.
	Waited int64 `msgpack:"w"`
	Ahead  int64 `msgpack:"a"`
}

// Empty reports whether there is nothing to tell.
func (n News) Empty() bool { return len(n.Given) == 0 && len(n.Used) == 0 }

// HasNews reports whether promises were given or used since News last returned them.
func (b *Book) HasNews() bool { return len(b.given) > 0 || len(b.spent) > 0 }

// News returns at most MaxNews of the promises that this entry gave and used and that it
// has not returned yet.
func (b *Book) News(now time.Time) News {
	b.sweep(now)
	var n News
	used := min(len(b.spent), MaxNews)
	if used > 0 {
		n.Used = append(n.Used, b.spent[:used]...)
		b.spent = append(b.spent[:0], b.spent[used:]...)
	}
	given := min(len(b.given), MaxNews-used)
	for _, p := range b.given[:given] {
		n.Given = append(n.Given, Given{Key: p.Key, Service: p.Service, Rank: p.Rank, Waited: now.Sub(p.Arrived).Milliseconds(), Ahead: p.From.Sub(now).Milliseconds()})
	}
	b.given = append(b.given[:0], b.given[given:]...)
	return n
}

// Learn takes over what another entry told. It returns the number of promises that were
// ignored since their times are impossible, or since there are more than MaxNews.
func (b *Book) Learn(n News, now time.Time) int {
	b.sweep(now)
	ignored := max(len(n.Used)-MaxNews, 0) + max(len(n.Given)-MaxNews, 0)
	for _, k := range n.Used[:min(len(n.Used), MaxNews)] {
		b.remove(k)
		b.remember(k, now)
	}
	for _, g := range n.Given[:min(len(n.Given), MaxNews)] {
		if g.Ahead < -window.Milliseconds() || g.Ahead > maxAhead.Milliseconds() || g.Waited < 0 || g.Waited > maxWaited.Milliseconds() {
			ignored++
			continue
		}
		b.add(Promise{
			Key: g.Key, Service: g.Service, Rank: g.Rank,
			Arrived: now.Add(-time.Duration(g.Waited) * time.Millisecond), From: now.Add(time.Duration(g.Ahead) * time.Millisecond),
		}, now)
	}
	return ignored
}
