package returns

import (
	"math"
	"slices"
	"time"
)

// Room describes the room in which a return is to be placed.
type Room struct {
	Service string
	Rank    [2]int
	// PerSecond is the number of returns a second that are expected to find a place.
	PerSecond float64
	// Earliest and Latest bound the time until the return. Less than MinAhead counts as
	// MinAhead.
	Earliest, Latest time.Duration
	// Spread, from 0 to 1, is the part of an interval after whose start the return is
	// due.
	Spread float64
}

// reservation is a place that this entry has promised, or is about to.
type reservation struct {
	service string
	rank    [2]int
	from    time.Time
}

// Reserve returns the time of the first interval that has room, and false if there is none.
// A place that is not given has to be released.
func (b *Book) Reserve(r Room, now time.Time) (time.Time, bool) {
	b.sweep(now)
	if !(r.PerSecond > 0) || b.count >= MaxPromises {
		return time.Time{}, false
	}
	earliest, latest := now.Add(max(r.Earliest, MinAhead)), now.Add(min(r.Latest, maxAhead))
	for k := indexOf(earliest); ; k++ {
		from := startOf(k).Add(time.Duration(min(max(r.Spread, 0), maxSpread) * float64(Interval)))
		if from.Before(earliest) {
			from = earliest
		}
		if from.After(latest) {
			return time.Time{}, false
		}
		if b.reservedIn(r.Service, k) >= b.roomIn(r.PerSecond, k) {
			continue
		}
		b.reserved = append(b.reserved, reservation{r.Service, r.Rank, from})
		return from, true
	}
}

// Release gives a reserved place back.
func (b *Book) Release(service string, from time.Time) {
	for i, r := range b.reserved {
		if r.service == service && r.from.Equal(from) {
			b.reserved = slices.Delete(b.reserved, i, i+1)
			return
		}
	}
}

// Reserved counts the places of a service, at a rank or above, that this entry promised
// from one time until another.
func (b *Book) Reserved(service string, rank [2]int, from, until time.Time) int {
	n := 0
	for _, r := range b.reserved {
		if r.service == service && slices.Compare(r.rank[:], rank[:]) <= 0 && !r.from.Before(from) && r.from.Before(until) {
			n++
		}
	}
	return n
}

// reservedIn counts the places of a service in an interval, of all ranks.
func (b *Book) reservedIn(service string, k int64) int {
	n := 0
	for _, r := range b.reserved {
		if r.service == service && indexOf(r.from) == k {
			n++
		}
	}
	return n
}

// indexOf returns the number of the interval that holds t.
func indexOf(t time.Time) int64 { return t.UnixNano() / int64(Interval) }

// startOf returns when an interval starts.
func startOf(k int64) time.Time { return time.Unix(0, k*int64(Interval)) }

// golden is the fractional part of the golden ratio. Its multiples modulo 1 are spread
// evenly however few of them are taken.
const golden = 0.6180339887498949

// roomIn returns the number of returns that may be promised for an interval. A rate of less
// than one in an interval allows one in some intervals. Which these are depends on the
// interval and the process alone, so that asking again with a slightly changed rate finds
// no further room.
func (b *Book) roomIn(perSecond float64, k int64) int {
	_, u := math.Modf(golden * float64((k+int64(b.Seed%phases))%phases))
	return int(min(perSecond, MaxPromises)*Interval.Seconds() + u)
}
