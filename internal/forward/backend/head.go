package backend

import (
	"errors"
	"os"
	"time"
)

// headLimit bounds the heads of an answer. An upstream may send bytes that are no
// answer and never end.
type headLimit struct {
	// reading is true while heads are read; left is the number of bytes that may still
	// be read.
	reading bool
	left    int
	// end is when the head that has begun must have ended, zero between two heads.
	end time.Time
	// bounded is true while the connection has a read deadline.
	bounded bool
}

func (p *Pool) headTimeout() time.Duration {
	if p.HeadTimeout > 0 {
		return p.HeadTimeout
	}
	return DefaultHeadTimeout
}

// beginHeads bounds the bytes that are read until endHeads.
func (c *conn) beginHeads() { c.head = headLimit{reading: true, left: maxHeadBytes} }

func (c *conn) endHeads() { c.head.reading = false }

// beginHead bounds the time until endHead.
func (c *conn) beginHead(timeout time.Duration) { c.head.end = time.Now().Add(timeout) }

func (c *conn) endHead() {
	c.head.end = time.Time{}
	if c.head.bounded {
		c.head.bounded = false
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// Read reads from the connection, within the limits of a head while one is read. A head
// that arrives in one piece needs no read deadline.
func (c *conn) Read(b []byte) (int, error) {
	h := &c.head
	if !h.reading {
		return c.readSocket(b)
	}
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	if !h.end.IsZero() && !h.bounded {
		if err := c.SetReadDeadline(h.end); err != nil {
			return 0, err
		}
		h.bounded = true
	}
	n, err := c.readSocket(b[:min(len(b), h.left)])
	h.left -= n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errHeadLate
	}
	return n, err
}
