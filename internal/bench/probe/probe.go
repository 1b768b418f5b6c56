// Package probe measures the time of one call of a function and the heap memory
// that a value retains.
//
// # Usage
//
//	d := probe.Time(func() { s.Tick(now) })
//	n := probe.Heap(func() any { return build() })
//
// The machine may be busy with other work, so Time returns the fastest of several
// rounds.
package probe

import (
	"runtime"
	"time"
)

const (
	// roundCount is the number of rounds, minRoundTime the minimum duration of one.
	roundCount   = 5
	minRoundTime = 8 * time.Millisecond
)

// Time returns the mean time of one call of f in the fastest round.
func Time(f func()) time.Duration {
	n := 1
	for {
		d := repeat(f, n)
		if d >= minRoundTime {
			break
		}
		n = max(2*n, int(float64(n)*float64(minRoundTime)/float64(max(d, time.Microsecond))))
	}
	best := repeat(f, n)
	for range roundCount - 1 {
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

// Heap returns the bytes of heap memory that the result of build retains.
func Heap(build func() any) int64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return max(after-before, 0)
}

// liveHeap returns the bytes of heap memory in use after a garbage collection.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
