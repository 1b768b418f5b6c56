// Package probe measures what a piece of code costs: its time for one call and
// the memory that a state holds.
//
// # Usage
//
//	d := probe.Time(func() { s.Tick(now) })
//	n := probe.Heap(func() any { return build() })
//
// The machine may be busy with other work, so Time takes the fastest of several
// rounds.
package probe

import (
	"runtime"
	"time"
)

const (
	// rounds is the number of rounds, and round the least length of one.
	rounds = 5
	round  = 8 * time.Millisecond
)

// Time returns the time of one call of f.
func Time(f func()) time.Duration {
	n := 1
	for {
		d := repeat(f, n)
		if d >= round {
			break
		}
		n = max(2*n, int(float64(n)*float64(round)/float64(max(d, time.Microsecond))))
	}
	best := repeat(f, n)
	for range rounds - 1 {
		best = min(best, repeat(f, n))
	}
	return best / time.Duration(n)
}

func repeat(f func(), n int) time.Duration {
	begin := time.Now()
	for range n {
		f()
	}
	return time.Since(begin)
}

// Heap returns the bytes that what build returns keeps in memory.
func Heap(build func() any) int64 {
	before := live()
	v := build()
	after := live()
	runtime.KeepAlive(v)
	return max(after-before, 0)
}

// live returns the bytes in use after a collection.
func live() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
