package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal("create the record: %v", err)
	}
	return &record{file: f, begin: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a time as seconds since the start.
func (r *record) since(t time.Time) float64 { return t.Sub(r.begin).Seconds() }

// fatal ends a case that could not run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}
