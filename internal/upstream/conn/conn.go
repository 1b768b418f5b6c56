// Package conn provides a network connection that can be sealed. Sealing
// prevents all later writes and reports whether a write was started before.
//
// This is how the transport knows that no byte of a request can have reached an
// upstream. A write that was started may have arrived, even if it failed.
//
// # Usage
//
//	c := &conn.Conn{Conn: dialed, WriteTimeout: 10 * time.Second}
//	mark := c.Writes()
//	// pass c to code that may write
//	notWritten := c.Seal(mark)
package conn

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrSealed is returned by a write to a sealed connection.
var ErrSealed = errors.New("connection is sealed")

// Conn is a connection that counts the writes started on it.
type Conn struct {
	net.Conn
	// WriteTimeout bounds one write; 0 means no timeout.
	WriteTimeout time.Duration
	mu           sync.Mutex
	writes       uint64
	sealed       bool
}

// Write writes p unless the connection is sealed.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.startWrite(); err != nil {
		return 0, err
	}
	if c.WriteTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.WriteTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// startWrite counts a write, or fails if the connection is sealed.
func (c *Conn) startWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return ErrSealed
	}
	c.writes++
	return nil
}

// Writes returns the number of writes started.
func (c *Conn) Writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Seal makes all later writes fail, and reports whether none was started since
// mark, an earlier result of Writes.
func (c *Conn) Seal(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes == mark
}
