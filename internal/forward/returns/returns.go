// Package returns remembers which refused callers were promised a place, so that they are
// recognized and served first when they come back, also at another entry.
//
// A refusal for want of room may carry a promise: the caller comes back after its
// Retry-After and is then served before new requests of its rank. The promises of an entry
// for an interval are bounded by the room that the entry expects in it. Entries tell each
// other of promises that were given and used. A lost message makes a return a new request.
//
// # Usage
//
//	var b returns.Book
//	from, ok := b.Reserve(returns.Room{Service: "menus", PerSecond: 4, Latest: time.Second}, now)
//	p, ok := b.Give(returns.Promise{Key: returns.Key{Digest: sum}, Service: "menus", Arrived: arrived, From: from}, now)
//	news := b.News(now)                                // at the entry that refused
//	ignored := b.Learn(news, now)                      // at the others
//	if b.Due(now) { p, ok = b.Take(sum, now) }         // when a request arrives
//
// The package reads no clock and does no I/O.
package returns

import (
	"slices"
	"time"
)

// Limits of a book.
const (
	// MaxPromises bounds the promises of a book.
	MaxPromises = 4096
	// MaxAge bounds the time for which a book holds a promise.
	MaxAge = 5 * time.Second
	// MinAhead is the least time from a refusal to the return that it promises; the
	// other entries hear of the promise meanwhile.
	MinAhead = 300 * time.Millisecond
	// Interval is the length of the intervals whose promises are bounded.
	Interval = 250 * time.Millisecond

	// early and window bound when a request counts as the return of a promise, before and
	// after the promised time.
	early  = 50 * time.Millisecond
	window = 1500 * time.Millisecond
	// maxAhead is the longest time to a return; the promise then ends with MaxAge.
	maxAhead = MaxAge - window

	// maxSpread keeps a return within its interval.
	maxSpread = 0.99

	// phases is the number of intervals after which their room repeats, a prime.
	phases = 65521
)

// Key identifies a promise.
type Key struct {
	// Digest is that of the request; ID tells promises for one digest apart.
	Digest uint64 `msgpack:"d"`
	ID     uint64 `msgpack:"i"`
}

// Promise is a place for one caller that comes back.
type Promise struct {
	Key
	Service string
	Rank    [2]int
	// Arrived is when the caller's request first came, From when it may come back.
	Arrived, From time.Time

	// ends is when the promise lapses.
	ends time.Time
}

// Book holds the promises that an entry gave and heard of. Its zero value is an empty
// book.
type Book struct {
	// Seed tells the promises of this process from those of others; each process sets
	// another one.
	Seed uint64

	// promises holds the open promises by digest; count is their number.
	promises map[uint64][]Promise
	count    int
	// used holds until when a used promise is remembered, as its news may come late.
	used map[Key]time.Time
	// reserved lists the places that this entry promised.
	reserved []reservation
	// given and spent are the news that was not sent yet.
	given []Promise
	spent []Key
	last  uint64
	// firstFrom is not later than the time of any open promise.
	firstFrom time.Time
	swept     time.Time
}

// Give records a promise in a reserved place. If the same request has a promise that is not
// due yet, that one is returned and the place released. It returns false if the book is
// full.
func (b *Book) Give(p Promise, now time.Time) (Promise, bool) {
	b.sweep(now)
	if o, ok := b.Open(p.Digest, now); ok {
		b.Release(p.Service, p.From)
		return o, true
	}
	b.last++
	p.ID = b.Seed + b.last
	p.ends = endOf(p, now)
	if !b.add(p, now) {
		b.Release(p.Service, p.From)
		return Promise{}, false
	}
	b.given = append(b.given, p)
	return p, true
}

// Open returns the promise of a request that is not due yet.
func (b *Book) Open(digest uint64, now time.Time) (Promise, bool) {
	for _, o := range b.promises[digest] {
		if o.From.After(now) && o.ends.After(now) {
			return o, true
		}
	}
	return Promise{}, false
}

// Due reports whether any promise may be due.
func (b *Book) Due(now time.Time) bool {
	b.sweep(now)
	return b.count > 0 && !now.Before(b.firstFrom.Add(-early))
}

// Take uses the promise of a request that has come back, if one is due.
func (b *Book) Take(digest uint64, now time.Time) (Promise, bool) {
	b.sweep(now)
	best := -1
	list := b.promises[digest]
	for i, p := range list {
		if now.Before(p.From.Add(-early)) || !now.Before(p.ends) {
			continue
		}
		if best < 0 || p.From.Before(list[best].From) {
			best = i
		}
	}
	if best < 0 {
		return Promise{}, false
	}
	p := list[best]
	b.remove(p.Key)
	b.remember(p.Key, now)
	b.spent = append(b.spent, p.Key)
	return p, true
}

// Len returns the number of open promises.
func (b *Book) Len(now time.Time) int {
	b.swept = time.Time{}
	b.sweep(now)
	return b.count
}

// add records a promise. It returns false if the promise was used or is known, or if the
// book is full.
func (b *Book) add(p Promise, now time.Time) bool {
	if b.count >= MaxPromises || b.used[p.Key].After(now) {
		return false
	}
	if slices.ContainsFunc(b.promises[p.Digest], func(o Promise) bool { return o.ID == p.ID }) {
		return false
	}
	p.ends = endOf(p, now)
	if b.promises == nil {
		b.promises = make(map[uint64][]Promise)
	}
	if b.count == 0 || p.From.Before(b.firstFrom) {
		b.firstFrom = p.From
	}
	b.promises[p.Digest] = append(b.promises[p.Digest], p)
	b.count++
	return true
}

// endOf returns when a promise lapses that is taken into the book now.
func endOf(p Promise, now time.Time) time.Time {
	if end := p.From.Add(window); end.Sub(now) < MaxAge {
		return end
	}
	return now.Add(MaxAge)
}

// remove deletes a promise that has been used.
func (b *Book) remove(k Key) {
	list := b.promises[k.Digest]
	i := slices.IndexFunc(list, func(p Promise) bool { return p.Key == k })
	if i < 0 {
		return
	}
	b.count--
	if list = slices.Delete(list, i, i+1); len(list) > 0 {
		b.promises[k.Digest] = list
		return
	}
	delete(b.promises, k.Digest)
}

// remember keeps a used promise from being taken over again.
func (b *Book) remember(k Key, now time.Time) {
	if b.used == nil {
		b.used = make(map[Key]time.Time)
	}
	if len(b.used) < MaxPromises {
		b.used[k] = now.Add(MaxAge)
	}
}

// sweep drops what has lapsed, at most once an interval.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.swept) < Interval && !now.Before(b.swept) {
		return
	}
	b.swept, b.count, b.firstFrom = now, 0, time.Time{}
	for digest, list := range b.promises {
		list = slices.DeleteFunc(list, func(p Promise) bool { return !now.Before(p.ends) })
		if len(list) == 0 {
			delete(b.promises, digest)
			continue
		}
		b.promises[digest] = list
		b.count += len(list)
		for _, p := range list {
			if b.firstFrom.IsZero() || p.From.Before(b.firstFrom) {
				b.firstFrom = p.From
			}
		}
	}
	for k, ends := range b.used {
		if !now.Before(ends) {
			delete(b.used, k)
		}
	}
	b.reserved = slices.DeleteFunc(b.reserved, func(r reservation) bool { return r.from.Add(Interval).Before(now) })
	// News that nobody fetches is of no use once its promises have lapsed.
	b.given = slices.DeleteFunc(b.given, func(p Promise) bool { return !now.Before(p.ends) })
	if n := len(b.spent) - MaxPromises; n > 0 {
		b.spent = slices.Delete(b.spent, 0, n)
	}
}
