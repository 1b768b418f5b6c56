// Package conn provides a network connection that can be sealed: after that no
// byte can be written, and it is known whether any write had begun.
//
// It is what "no byte can have reached the upstream" rests on. A write that has
// begun counts as one that may have arrived, whatever it returned.
//
// # Usage
//
//	c := &conn.Conn{Conn: dialed, WriteTimeout: 10 * time.Second}
//	mark := c.Writes()
//	// hand c to something that may write
//	untouched := c.Seal(mark)
package conn

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrSealed says that the connection takes no more bytes.
var ErrSealed = errors.New("connection is sealed")

// Conn is a connection that counts the writes begun on it.
type Conn struct {
	net.Conn
	// WriteTimeout bounds one write; 0 means no bound.
	WriteTimeout time.Duration
	mu           sync.Mutex
	writes       uint64
	sealed       bool
}

// Write writes p unless the connection is sealed.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	if c.WriteTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.WriteTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

func (c *Conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return ErrSealed
	}
	c.writes++
	return nil
}

// Writes returns the number of writes begun.
func (c *Conn) Writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Seal refuses every later write, and tells whether none was begun since mark.
func (c *Conn) Seal(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes == mark
}
