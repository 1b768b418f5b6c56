// Package buffer bounds the bytes that an entry holds for its callers and upstreams: bodies
// of requests, answers that are read whole before they are relayed, and long events of
// streams. They may come and go slowly, so what is held does not follow from the rate of
// requests alone.
//
// Bodies and answers have a bound each. A body beyond it is refused unread. An answer of a stated
// length waits for room. One of unknown length is read already when it turns out to be too much;
// then the upstream that holds most loses its largest unfinished answer, so that an upstream that
// sends without end takes nothing from the others.
//
// # Usage
//
//	var b buffer.Budget
//	b.SetTotal(46<<20, 37<<20)
//	if !b.Take(n) {
//		// refuse the request unread
//	}
//	defer b.Release(n)
//
//	c := b.Claim("upstream-1", func() { conn.Close() })
//	defer c.Release()
//	if err := c.Grow(n); err != nil {
//		// the answer was cut
//	}
//	c.SetWhole(true)
package buffer

import (
	"errors"
	"sync"
)

// Causes for which an answer is cut.
var (
	// ErrCut means that what the entry holds of answers that are not whole is too much, and its
	// upstream sent most of it.
	ErrCut = errors.New("the entry holds too many bytes of answers, and most of this upstream")
	// ErrFull means that more than half of what the entry may hold is answers that callers have
	// not taken, and answers of a stated length. It says nothing of the upstream.
	ErrFull = errors.New("the entry holds too many bytes of answers for slow callers")
)

// overshootFraction is the fraction of the bound of answers that may be held beyond it, until
// the bytes of answers that were cut are released.
const overshootFraction = 0.25

// Budget counts the bytes that are held. Its zero value has no bound. It is safe for
// concurrent use.
type Budget struct {
	mu    sync.Mutex
	total int64
	used  int64
	// refused counts the claims that exceeded the total.
	refused uint64

	answers answers
}

// answers counts the bytes of answers.
type answers struct {
	// total is the bound, 0 for none. used counts all bytes that are held, cutting those of
	// answers that were cut, whole those of whole answers.
	total, used, cutting, whole int64
	// unfinished holds the claims of answers that are read and may be cut, taken those of whole
	// ones that callers take.
	unfinished, taken map[*Claim]bool
	// last is the number of the newest claim.
	last uint64
	// cuts counts the answers that were cut.
	cuts uint64
	// released is signalled when bytes are released or a claim is cut.
	released sync.Cond
}

// SetTotal sets the bounds of bodies and of answers in bytes; 0 means none. Bytes that are
// held already stay.
func (b *Budget) SetTotal(bodies, answers int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total, b.answers.total = max(bodies, 0), max(answers, 0)
}

// Take claims n bytes of a body and reports whether they are within the total. A claim is
// granted whole or not at all. One larger than the total is granted while nothing is held, so
// that no size of request is refused for ever.
func (b *Budget) Take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total > 0 && b.used > 0 && b.used+int64(n) > b.total {
		b.refused++
		return false
	}
	b.used += int64(n)
	return true
}

// Release returns n claimed bytes of a body.
func (b *Budget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(b.used-int64(n), 0)
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used + b.answers.used
}

// Refused returns the number of claims of bodies that exceeded the total.
func (b *Budget) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Cuts returns the number of answers that were cut.
func (b *Budget) Cuts() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answers.cuts
}
