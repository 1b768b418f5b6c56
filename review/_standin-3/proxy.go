package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes TCP connections on, and can silence those that are open.
type proxy struct {
	to string

	mu   sync.Mutex
	open map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	a, b   net.Conn
	silent atomic.Bool
}

func newProxy(l net.Listener, to string) *proxy {
	p := &proxy{to: to, open: map[*link]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p
}

func (p *proxy) pass(a net.Conn) {
	b, err := net.Dial("tcp", p.to)
	if err != nil {
		a.Close()
		return
	}
	k := &link{a: a, b: b}
	p.mu.Lock()
	p.open[k] = struct{}{}
	p.mu.Unlock()
	go k.copy(a, b, p)
	k.copy(b, a, p)
}

// copy passes bytes on until the connection ends. On a silent one nothing passes any more, not
// even its end.
func (k *link) copy(from, to net.Conn, p *proxy) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if k.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil && err == nil {
				err = werr
			}
		}
		if err != nil {
			from.Close()
			to.Close()
			p.mu.Lock()
			delete(p.open, k)
			p.mu.Unlock()
			return
		}
	}
}

// silence makes all open connections silent for good and returns their number. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.open)
	for k := range p.open {
		k.silent.Store(true)
		delete(p.open, k)
	}
	return n
}
