package transport

import "time"

// Limits bounds every phase of a call. A zero field takes its default.
type Limits struct {
	// Dial bounds the making of a connection.
	Dial time.Duration
	// Write bounds one write of the request.
	Write time.Duration
	// Header bounds the time from the request's last byte to the answer's head.
	// An answer in one piece is made whole before its head is sent.
	Header time.Duration
	// Idle bounds the time between two pieces of an answer.
	Idle time.Duration
	// Kept bounds how long an unused connection is kept.
	Kept time.Duration
	// HeaderBytes bounds the head of an answer.
	HeaderBytes int64
	// Conns and KeptConns bound the connections to one upstream, KeptTotal the
	// unused ones to all.
	Conns     int
	KeptConns int
	KeptTotal int
}

// Defaults of Limits.
const (
	DefaultDial        = time.Second
	DefaultWrite       = 10 * time.Second
	DefaultHeader      = 5 * time.Minute
	DefaultIdle        = 30 * time.Second
	DefaultKept        = 20 * time.Second
	DefaultHeaderBytes = 64 << 10
	DefaultConns       = 2048
	DefaultKeptConns   = 128
	DefaultKeptTotal   = 4096
)

func (l Limits) withDefaults() Limits {
	l.Dial = either(l.Dial, DefaultDial)
	l.Write = either(l.Write, DefaultWrite)
	l.Header = either(l.Header, DefaultHeader)
	l.Idle = either(l.Idle, DefaultIdle)
	l.Kept = either(l.Kept, DefaultKept)
	l.HeaderBytes = either(l.HeaderBytes, DefaultHeaderBytes)
	l.Conns = either(l.Conns, DefaultConns)
	l.KeptConns = either(l.KeptConns, DefaultKeptConns)
	l.KeptTotal = either(l.KeptTotal, DefaultKeptTotal)
	return l
}

func either[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}
