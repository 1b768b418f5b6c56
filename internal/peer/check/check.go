// Package check provides the bounds of what one entry takes from another.
//
// # Usage
//
//	if err := check.Exchange(now, m); err != nil {
//		return ward.Exchange{}, err // code.PeerRefused
//	}
//
// A peer has the shared key, but it may be of another build, or wrong. Nothing
// that it sends may grow a table, a series or a message without bound, divide by
// zero later, or name an address that is none.
package check

import (
	"math"
	"net/netip"
	"time"

	"agateward/internal/result/code"
	"agateward/ward"
)

// Bounds of a message.
const (
	MaxName        = 128
	MaxReason      = 512
	MaxStates      = 512
	MaxHeartbeats  = 1024
	MaxQuarantines = 128
	MaxCounts      = 512
	MaxMoves       = 128
	MaxDemand      = 1024
	MaxFloors      = 64
	// MaxDraining bounds the upstreams that an entry calls leaving.
	MaxDraining = 256
	// MaxObjects bounds each list of a configuration.
	MaxObjects = 20000
	MaxBuckets = 64
	// maxAhead is how far a peer's clock may be ahead.
	maxAhead = 24 * time.Hour
)

// Exchange checks a whole message.
func Exchange(now time.Time, m ward.Exchange) error {
	switch {
	case m.From == "" || len(m.From) > MaxName || len(m.To) > MaxName || len(m.Fleet) > MaxName:
		return refuse("a name is empty or too long")
	case !incarnation(now, m.Incarnation):
		return refuse("incarnation %d of %q is not a start time", m.Incarnation, m.From)
	case len(m.States) > MaxStates, len(m.Heartbeats) > MaxHeartbeats, len(m.Quarantines) > MaxQuarantines,
		len(m.Counts) > MaxCounts, len(m.Moves) > MaxMoves, len(m.Buckets) > MaxBuckets:
		return refuse("a list is too long")
	}
	for _, f := range []func() error{
		func() error { return each(m.States, func(s ward.PeerState) error { return state(now, s) }) },
		func() error { return each(m.Heartbeats, heartbeat) },
		func() error { return each(m.Quarantines, Quarantine) },
		func() error { return each(m.Counts, func(c ward.Counts) error { return Counts(now, c) }) },
		func() error { return each(m.Moves, Move) },
		func() error { return configs(m) },
	} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// Quarantine checks one brake.
func Quarantine(b ward.Quarantine) error {
	if b.Serves == "" || b.Version == "" || !names(b.Serves, b.Version, b.Route, b.Move, b.By) || len(b.Reason) > MaxReason {
		return refuse("brake on %.40q %.40q: a name is empty or too long", b.Serves, b.Version)
	}
	return nil
}

func state(now time.Time, s ward.PeerState) error {
	switch {
	case s.Name == "" || !names(s.Name, s.DataCentre):
		return refuse("state: a name is empty or too long")
	case !address(s.Address) || s.Operator != "" && !address(s.Operator):
		return refuse("state of %q: not an IP number and port", s.Name)
	case !incarnation(now, s.Incarnation):
		return refuse("state of %q: incarnation %d is not a start time", s.Name, s.Incarnation)
	case !tier(s.Floor) || !waiting(s.Waiting) || len(s.Demand) > MaxDemand || len(s.Floors) > MaxFloors || !draining(s.Draining):
		return refuse("state of %q: a figure is out of bounds", s.Name)
	}
	if err := each(s.Floors, Floor); err != nil {
		return err
	}
	return each(s.Demand, Demand)
}

// Demand checks the demand on one upstream.
func Demand(d ward.Demand) error {
	if d.Upstream == "" || !names(d.Upstream) || d.InFlight < 0 || d.Prefill < 0 || d.Waiting < 0 || d.Rate < 0 {
		return refuse("demand on %.40q is out of bounds", d.Upstream)
	}
	return nil
}

// Floor checks the shedding state of one model or service.
func Floor(f ward.ServesFloor) error {
	if f.Serves == "" || !names(f.Serves) || !tier(f.Need) || !tier(f.Floor) || !waiting(f.Waiting) {
		return refuse("floor of %.40q is out of bounds", f.Serves)
	}
	return nil
}

func heartbeat(b ward.Heartbeat) error {
	if !tier(b.Floor) || !waiting(b.Waiting) || len(b.Floors) > MaxFloors || !draining(b.Draining) {
		return refuse("beat: a figure is out of bounds")
	}
	return each(b.Floors, Floor)
}

// Counts checks the counts of one series.
func Counts(now time.Time, c ward.Counts) error {
	if c.Serves == "" || c.Entry == "" || !names(c.Serves, c.Version, c.Route, c.Move, c.Entry) || !incarnation(now, c.Incarnation) {
		return refuse("counts: a name is empty or too long")
	}
	// Sums of counts of all entries must not overflow.
	const most = math.MaxUint64 >> 24
	if c.Succeeded > most || c.Failed > most {
		return refuse("counts of %q: out of bounds", c.Entry)
	}
	for _, n := range c.Latency {
		if n > most {
			return refuse("counts of %q: out of bounds", c.Entry)
		}
	}
	return nil
}

// Move checks the state of one move.
func Move(m ward.MoveState) error {
	if m.Move == "" || !names(m.Move, m.State, m.Holder) || len(m.Reason) > MaxReason {
		return refuse("move: a name is empty or too long")
	}
	if m.Share < 0 || m.Share > 1 || math.IsNaN(m.Share) || m.Step < 0 {
		return refuse("move %q: a figure is out of bounds", m.Move)
	}
	return nil
}

func configs(m ward.Exchange) error {
	if m.Config != nil {
		if err := config(*m.Config); err != nil {
			return err
		}
	}
	if m.Delta == nil {
		return nil
	}
	d := m.Delta
	for _, gone := range [][]string{d.UpstreamsGone, d.RoutesGone, d.TeamsGone, d.MovesGone} {
		if len(gone) > MaxObjects {
			return refuse("configuration delta: a list is too long")
		}
	}
	return config(d.Config)
}

func config(c ward.Config) error {
	if max(len(c.Upstreams), len(c.Routes), len(c.Teams), len(c.Moves)) > MaxObjects {
		return refuse("configuration: a list is too long")
	}
	return each(c.Upstreams, func(u ward.Upstream) error {
		if !address(u.Address) {
			return refuse("configuration: upstream %.40q has no IP number and port", u.Name)
		}
		return nil
	})
}

func each[T any](list []T, f func(T) error) error {
	for _, x := range list {
		if err := f(x); err != nil {
			return err
		}
	}
	return nil
}

func refuse(format string, args ...any) error { return code.PeerRefused.New(format, args...) }

func names(list ...string) bool {
	for _, s := range list {
		if len(s) > MaxName {
			return false
		}
	}
	return true
}

func draining(list []string) bool { return len(list) <= MaxDraining && names(list...) }

func address(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

// incarnation refuses a start time that would shut out the entry's next runs.
func incarnation(now time.Time, n ward.Incarnation) bool {
	return n > 0 && uint64(n) <= uint64(now.Add(maxAhead).UnixNano())
}

func tier(t ward.Tier) bool { return t <= ward.TierBottom }

func waiting(w [ward.TierCount]int) bool {
	for _, n := range w {
		if n < 0 {
			return false
		}
	}
	return true
}
