// Package usage reads what the process has used of the machine.
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

// Usage is what the process has used since its start.
type Usage struct {
	// CPU is processor time in user and system mode.
	CPU time.Duration
	// Memory is the heap and the stacks in use, in bytes.
	Memory int64
	// Goroutines is the number of goroutines.
	Goroutines int
}

// Read returns the usage up to now. It does not collect garbage first.
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

// ReadAfterGC collects garbage and returns the usage then.
func ReadAfterGC() Usage {
	runtime.GC()
	return Read()
}
