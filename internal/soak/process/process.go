// Package process runs a process of the program under test, which the soak can
// signal and restart.
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
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process runs Program, one process at a time.
type Process struct {
	Program string
	Args    []string
	// Log is the file that standard output and standard error are appended to.
	Log string

	mu     sync.Mutex
	p      *os.Process
	exited chan struct{}
	// starts is the number of processes started so far.
	starts int
}

// Start starts the program. The previous process must have exited.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("open the log of a process: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has its own handle
	// While this process handles SIGHUP, the new one does not inherit that nohup ignores it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	proc, err := os.StartProcess(p.Program, append([]string{p.Program}, p.Args...), &os.ProcAttr{
		Env: os.Environ(), Files: []*os.File{nil, log, log},
	})
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Program, err)
	}
	p.starts++
	exited := make(chan struct{})
	p.p, p.exited = proc, exited
	go func() {
		// The exit status is not needed: the log shows why the process exited.
		_, _ = proc.Wait()
		close(exited)
	}()
	return nil
}

// StartCount returns the number of processes started so far, which is the number of
// the current one.
func (p *Process) StartCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// PeakMemory returns the highest resident size of the current process so far, in megabytes. It
// fails if the process has exited.
func (p *Process) PeakMemory() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.p == nil {
		return 0, os.ErrProcessDone
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.p.Pid))
	if err != nil {
		return 0, fmt.Errorf("read the peak memory: %w", err)
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	var kilobytes int
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0, fmt.Errorf("no peak memory in %q: %w", b, os.ErrProcessDone)
	}
	return kilobytes >> 10, nil
}

// Alive reports whether the process is running.
func (p *Process) Alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.p == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. It does nothing when the process has exited.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.p != nil {
		_ = p.p.Signal(s)
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Await(time.Minute)
}

// Await waits for the process to end and reports whether it did within d.
func (p *Process) Await(d time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-exited:
		return true
	case <-t.C:
		return false
	}
}
