// Package buffer bounds the bytes that an entry holds for its callers and upstreams: bodies
// of requests, and answers that are read whole before they are relayed. Both may come and
// go slowly, so what is held does not follow from the rate of requests alone.
//
// # Usage
//
//	var b buffer.Budget
//	b.SetTotal(46 << 20)
//	if !b.Take(n) {
//		// refuse the request unread
//	}
//	defer b.Release(n)
package buffer

import "sync"

// Budget counts the bytes that are held. Its zero value has no bound. It is safe for
// concurrent use.
type Budget struct {
	mu    sync.Mutex
	total int64
	used  int64
	// refused counts the claims that exceeded the total.
	refused uint64
}

// SetTotal sets the bound in bytes; 0 means none. Bytes that are held already stay.
func (b *Budget) SetTotal(total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = max(total, 0)
}

// Take claims n bytes and reports whether they are within the total. A claim is granted
// whole or not at all. One larger than the total is granted while nothing is held, so that
// no size of request is refused for ever.
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

// Add claims n bytes whatever the total.
func (b *Budget) Add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += int64(n)
}

// Release returns n claimed bytes.
func (b *Budget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(b.used-int64(n), 0)
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Refused returns the number of claims that exceeded the total.
func (b *Budget) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}
