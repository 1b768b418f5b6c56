// Package proxy provides a loopback TCP proxy that injects faults into the
// connections through it.
//
// # Usage
//
//	p := &proxy.Proxy{Target: "127.0.0.1:7100"}
//	err := p.Listen()
//	p.Set(proxy.HoldAnswers)
//	p.Set(proxy.Pass)
//	p.SilenceOpen() // the open connections; new ones pass
package proxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how the proxy treats the data of all connections.
type Mode string

// Modes.
const (
	// Pass forwards everything.
	Pass Mode = "pass"
	// Delay forwards everything after DelayTime.
	Delay Mode = "delay"
	// Reset resets open and new connections.
	Reset Mode = "reset"
	// Hold holds all data back until the mode changes.
	Hold Mode = "silence"
	// HoldAnswers forwards data to the target and holds its answers back.
	HoldAnswers Mode = "mute"
)

// DelayTime is the added latency of Delay in each direction, several times the answer
// time of a store or an upstream.
const DelayTime = 150 * time.Millisecond

// Proxy is a proxy to Target. Its mode is Pass until Set.
type Proxy struct {
	Target string

	l       net.Listener
	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[net.Conn]bool
	// links are the connections that SilenceOpen silences.
	links map[*link]bool
}

// link is a connection of a client with the one to the target.
type link struct {
	end    chan struct{}
	once   sync.Once
	silent atomic.Bool
}

func (l *link) stop() { l.once.Do(func() { close(l.end) }) }

// Listen starts the proxy on a free port of the loopback address.
func (p *Proxy) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("proxy to %s: %w", p.Target, err)
	}
	p.l, p.mode, p.changed, p.conns = l, Pass, make(chan struct{}), make(map[net.Conn]bool)
	p.links = make(map[*link]bool)
	go p.accept()
	return nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.l.Addr().String() }

// Set changes the mode, also for open connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset {
		p.abortAll()
	}
}

// SilenceOpen makes the open connections pass nothing more, not even their end, and
// returns their number. New ones pass.
func (p *Proxy) SilenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.links)
	for l := range p.links {
		l.silent.Store(true)
		delete(p.links, l)
	}
	return n
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abortAll()
}

func (p *Proxy) abortAll() {
	for c := range p.conns {
		abort(c)
		delete(p.conns, c)
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return // closed
		}
		go p.handle(c)
	}
}

func (p *Proxy) handle(c net.Conn) {
	if m, _ := p.state(); m == Reset {
		abort(c)
		return
	}
	out, err := net.Dial("tcp", p.Target)
	if err != nil {
		abort(c)
		return
	}
	l := &link{end: make(chan struct{})}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.links[l] = true
	p.mu.Unlock()
	go p.forward(out, c, false, l)
	p.forward(c, out, true, l)
	c.Close()
	out.Close()
	p.mu.Lock()
	delete(p.links, l)
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *Proxy) state() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// forward copies data until one side closes. back is set for the direction of the
// answers.
func (p *Proxy) forward(to, from net.Conn, back bool, l *link) {
	defer l.stop()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			m, changed := p.state()
			if m == Hold || m == HoldAnswers && back {
				select {
				case <-changed:
					continue
				case <-l.end:
					return
				}
			}
			if m == Delay {
				time.Sleep(DelayTime)
			}
			break
		}
		if l.silent.Load() {
			if err == nil {
				continue
			}
			if back {
				<-l.end // the client does not see that the target has closed
			}
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// abort resets a connection.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only when the connection is closed already
	}
	c.Close()
}
