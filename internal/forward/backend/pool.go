package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acquire returns an idle connection that is still open, and whose last request had
// another id, or a new one.
func (p *Pool) acquire(ctx context.Context, address, id string) (*conn, error) {
	now := time.Now()
	for {
		c := p.takeIdle(address, id)
		if c == nil {
			break
		}
		if now.Before(c.expires) && c.isIdle() {
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	opened := time.Now()
	p.noteHeard(opened)
	if p.OnOpen != nil {
		p.OnOpen()
	}
	c := &conn{Conn: raw, pool: p, address: address, heard: opened}
	c.br = bufio.NewReaderSize(c, bufferSize)
	return c, nil
}

// takeIdle takes the newest idle connection of an address whose last request had another
// id, nil if there is none.
func (p *Pool) takeIdle(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; id == "" || c.lastID != id {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
}

// LastHeard returns when bytes last arrived on any connection, or one was opened; the zero
// time if none was.
func (p *Pool) LastHeard() time.Time {
	ns := p.heard.Load()
	if ns == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(ns))
}

// processStart is the base of Pool.heard, with a monotonic clock reading.
var processStart = time.Now()

func (p *Pool) noteHeard(now time.Time) { p.heard.Store(max(int64(now.Sub(processStart)), 1)) }

// readSocket reads from the socket, and returns the end of the connection again once it was
// read: the socket reports a reset only once, and then a regular end.
func (c *conn) readSocket(b []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard = time.Now()
		c.pool.noteHeard(c.heard)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.end = err
	}
	return n, err
}

// Connect makes sure that there is an open connection to an address, which the next
// Send to it uses. Its error means that the upstream can't be reached.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.acquire(ctx, address, "")
	if err != nil {
		return err
	}
	if c.expires.IsZero() {
		c.expires = time.Now().Add(defaultIdleTimeout)
	}
	p.keep(c)
	return nil
}

// isIdle reports whether the upstream has neither closed a connection nor sent
// anything on it.
func (c *conn) isIdle() bool {
	_, err := c.peek()
	return c.br.Buffered() == 0 && errors.Is(err, syscall.EAGAIN)
}

// unread reports whether the socket holds bytes that were not read; any goroutine may call
// it. It asks for their number: a receive, a peek too, would take the error of a connection
// that was reset, and the goroutine that reads would see a regular end.
func (c *conn) unread() bool {
	n := 0
	err := c.control(func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	return n > 0 && err == nil
}

// peek looks at the next byte of the socket without waiting for it. It takes the socket's
// error, so nothing else may read meanwhile, and after an error nothing may read again.
func (c *conn) peek() (n int, err error) {
	err = c.control(func(fd int) (err error) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err
	})
	return n, err
}

// control calls f with the socket's file descriptor.
func (c *conn) control(f func(fd int) error) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var called error
	err = raw.Control(func(fd uintptr) { called = f(int(fd)) })
	return errors.Join(err, called)
}

func (p *Pool) putIdle(c *conn, field string) {
	kept := defaultIdleTimeout
	for _, part := range strings.Split(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			kept = time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
	c.expires, c.reused = time.Now().Add(kept), true
	if kept <= 0 {
		c.Close()
		return
	}
	p.keep(c)
}

// keep adds a connection to the idle ones of its address if there is room.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// closeUnheard closes the idle connections to an address on which nothing has arrived since a
// time. Connections that fall silent without an end do so together, and each would cost a
// request.
func (p *Pool) closeUnheard(address string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address][:0]
	for _, c := range p.idle[address] {
		if c.heard.Before(since) {
			c.Close()
		} else {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = kept
}

// Retain closes the idle connections that have expired or whose address is not in
// use.
func (p *Pool) Retain(inUse map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if inUse[address] && now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}
