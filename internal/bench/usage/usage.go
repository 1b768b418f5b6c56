// Package usage reads the resource usage of the process.
//
// # Usage
//
//	before := usage.Read()
//	...
//	spent := usage.Read().CPU - before.CPU
package usage

import (
	"runtime"
	"syscall"
	"time"
)

// Usage is the resource usage of the process.
type Usage struct {
	// CPU is the processor time in user and system mode since the process started.
	CPU time.Duration
	// Memory is the size of the heap and stacks in use, in bytes.
	Memory int64
	// Goroutines is the number of goroutines.
	Goroutines int
}

// Read returns the current usage. It does not collect garbage first.
func Read() Usage {
	var r syscall.Rusage
	u := Usage{Goroutines: runtime.NumGoroutine()}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Memory = int64(m.HeapAlloc + m.StackInuse)
	return u
}

// ReadAfterGC collects garbage and returns the usage after it.
func ReadAfterGC() Usage {
	runtime.GC()
	return Read()
}
