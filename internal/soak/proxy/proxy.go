// Package proxy provides a loopback proxy that harms the connections through it.
//
// # Usage
//
//	p := &proxy.Proxy{Target: "127.0.0.1:7100"}
//	err := p.Listen()
//	p.Set(proxy.Mute)
//	p.Set(proxy.Pass)
package proxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Mode is what happens to the bytes of all connections.
type Mode string

// Modes.
const (
	// Pass hands everything on.
	Pass Mode = "pass"
	// Delay hands everything on after Lag.
	Delay Mode = "delay"
	// Reset ends connections, old and new, without a word.
	Reset Mode = "reset"
	// Silence hands nothing on; what was sent arrives when the mode ends.
	Silence Mode = "silence"
	// Mute hands on what is asked and keeps the answers.
	Mute Mode = "mute"
)

// Lag is how much later than sent bytes arrive with Delay: several times what a
// store or an upstream takes for an answer.
const Lag = 150 * time.Millisecond

// Proxy is a proxy to Target. It passes everything until Set.
type Proxy struct {
	Target string

	l       net.Listener
	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

// Listen opens the proxy at a free port of the loopback address.
func (p *Proxy) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("proxy to %s: %w", p.Target, err)
	}
	p.l, p.mode, p.changed, p.conns = l, Pass, make(chan struct{}), make(map[net.Conn]bool)
	go p.accept()
	return nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.l.Addr().String() }

// Set changes the mode.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset {
		p.drop()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop()
}

func (p *Proxy) drop() {
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
		go p.join(c)
	}
}

func (p *Proxy) join(c net.Conn) {
	if m, _ := p.state(); m == Reset {
		abort(c)
		return
	}
	out, err := net.Dial("tcp", p.Target)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.mu.Unlock()
	end := make(chan struct{})
	var once sync.Once
	stop := func() { once.Do(func() { close(end) }) }
	go p.copy(out, c, false, end, stop)
	p.copy(c, out, true, end, stop)
	c.Close()
	out.Close()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *Proxy) state() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// copy hands bytes on until one side ends.
func (p *Proxy) copy(to, from net.Conn, back bool, end chan struct{}, stop func()) {
	defer stop()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			m, changed := p.state()
			if m == Silence || m == Mute && back {
				select {
				case <-changed:
					continue
				case <-end:
					return
				}
			}
			if m == Delay {
				time.Sleep(Lag)
			}
			break
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

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a connection that is closed already needs no reset
	}
	c.Close()
}
