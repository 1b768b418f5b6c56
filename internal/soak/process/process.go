// Package process provides one process of the program under test: the soak starts
// it, signals it by its id and starts it again.
//
// # Usage
//
//	p := &process.Process{Program: path, Args: []string{"forward", "--settings", file}, Log: logFile}
//	err := p.Start()
//	p.Signal(syscall.SIGSTOP)
//	p.Kill()
package process

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// Process is one process at a time of Program.
type Process struct {
	Program string
	Args    []string
	// Log is the file that standard output and errors are appended to.
	Log string

	mu    sync.Mutex
	p     *os.Process
	ended chan struct{}
	// starts counts the processes.
	starts int
}

// Start starts the program. The process before must have ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("log of a process: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has its own handle
	proc, err := os.StartProcess(p.Program, append([]string{p.Program}, p.Args...), &os.ProcAttr{
		Env: os.Environ(), Files: []*os.File{nil, log, log},
	})
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Program, err)
	}
	p.starts++
	ended := make(chan struct{})
	p.p, p.ended = proc, ended
	go func() {
		// Its status says nothing that the log does not.
		_, _ = proc.Wait()
		close(ended)
	}()
	return nil
}

// Starts tells how many processes there were, which names the present one.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Alive tells whether the process runs.
func (p *Process) Alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.p == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Signal signals the process; one that has ended needs none.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.p != nil {
		_ = p.p.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Await(time.Minute)
}

// Await waits for the end of the process and tells whether it came within d.
func (p *Process) Await(d time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-t.C:
		return false
	}
}
