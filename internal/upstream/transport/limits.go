package transport

import "time"

// Limits bounds every phase of a call. A zero field means the default.
type Limits struct {
	// Dial bounds the opening of a connection.
	Dial time.Duration
	// Write bounds one write of the request.
	Write time.Duration
	// Header bounds the time from the request's last byte to the answer's head.
	// If an answer is not streamed, its head comes only when all of it is ready.
	Header time.Duration
	// Read bounds the wait for the next bytes of an answer.
	Read time.Duration
	// KeepAlive is how long an idle connection is kept.
	KeepAlive time.Duration
	// HeaderBytes bounds the head of an answer.
	HeaderBytes int64
	// Conns bounds the connections to one upstream, IdleConns the idle ones to
	// one upstream and IdleConnsTotal the idle ones to all.
	Conns          int
	IdleConns      int
	IdleConnsTotal int
}

// Defaults of Limits.
const (
	DefaultDial           = time.Second
	DefaultWrite          = 10 * time.Second
	DefaultHeader         = 5 * time.Minute
	DefaultRead           = 30 * time.Second
	DefaultKeepAlive      = 20 * time.Second
	DefaultHeaderBytes    = 64 << 10
	DefaultConns          = 2048
	DefaultIdleConns      = 128
	DefaultIdleConnsTotal = 4096
)

func (l Limits) withDefaults() Limits {
	l.Dial = orDefault(l.Dial, DefaultDial)
	l.Write = orDefault(l.Write, DefaultWrite)
	l.Header = orDefault(l.Header, DefaultHeader)
	l.Read = orDefault(l.Read, DefaultRead)
	l.KeepAlive = orDefault(l.KeepAlive, DefaultKeepAlive)
	l.HeaderBytes = orDefault(l.HeaderBytes, DefaultHeaderBytes)
	l.Conns = orDefault(l.Conns, DefaultConns)
	l.IdleConns = orDefault(l.IdleConns, DefaultIdleConns)
	l.IdleConnsTotal = orDefault(l.IdleConnsTotal, DefaultIdleConnsTotal)
	return l
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
