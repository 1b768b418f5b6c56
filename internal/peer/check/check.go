// Package check validates the messages that one entry takes from another.
//
// # Usage
//
//	if err := check.Exchange(now, m); err != nil {
//		return ward.Exchange{}, err // code.PeerRefused
//	}
//
// A peer has the shared key, but it may be of another build or faulty. Nothing
// that it sends may grow a table, a series or a message without bound, cause a
// division by zero later, or name an invalid address.
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
	// MaxDraining bounds the upstreams that an entry reports as draining.
	MaxDraining = 256
	// MaxObjects bounds each list of a configuration.
	MaxObjects = 20000
	MaxBuckets = 64
	// maxClockSkew is how far a peer's clock may be ahead.
	maxClockSkew = 24 * time.Hour
)

// Exchange checks a whole message.
func Exchange(now time.Time, m ward.Exchange) error {
	switch {
	case m.From == "" || len(m.From) > MaxName || len(m.To) > MaxName || len(m.Fleet) > MaxName:
		return refuse("a name is empty or too long")
	case !validIncarnation(now, m.Incarnation):
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

// Quarantine checks one quarantine.
func Quarantine(q ward.Quarantine) error {
	if q.Serves == "" || q.Version == "" || !validNames(q.Serves, q.Version, q.Route, q.Move, q.By) || len(q.Reason) > MaxReason {
		return refuse("quarantine of %.40q %.40q: a name is empty or too long", q.Serves, q.Version)
	}
	return nil
}

func state(now time.Time, s ward.PeerState) error {
	switch {
	case s.Name == "" || !validNames(s.Name, s.DataCentre):
		return refuse("state: a name is empty or too long")
	case !validAddress(s.Address) || s.Operator != "" && !validAddress(s.Operator):
		return refuse("state of %q: not an IP number and port", s.Name)
	case !validIncarnation(now, s.Incarnation):
		return refuse("state of %q: incarnation %d is not a start time", s.Name, s.Incarnation)
	case !validTier(s.Floor) || !validWaiting(s.Waiting) || len(s.Demand) > MaxDemand || len(s.Floors) > MaxFloors || !validDraining(s.Draining):
		return refuse("state of %q: a value is out of bounds", s.Name)
	}
	if err := each(s.Floors, Floor); err != nil {
		return err
	}
	return each(s.Demand, Demand)
}

// Demand checks the demand on one upstream.
func Demand(d ward.Demand) error {
	if d.Upstream == "" || !validNames(d.Upstream) || d.InFlight < 0 || d.Prefill < 0 || d.Waiting < 0 || d.Rate < 0 {
		return refuse("demand on %.40q is out of bounds", d.Upstream)
	}
	return nil
}

// Floor checks the shedding state of one model or service.
func Floor(f ward.ServesFloor) error {
	if f.Serves == "" || !validNames(f.Serves) || !validTier(f.Need) || !validTier(f.Floor) || !validWaiting(f.Waiting) {
		return refuse("floor of %.40q is out of bounds", f.Serves)
	}
	return nil
}

func heartbeat(h ward.Heartbeat) error {
	if !validTier(h.Floor) || !validWaiting(h.Waiting) || len(h.Floors) > MaxFloors || !validDraining(h.Draining) {
		return refuse("heartbeat: a value is out of bounds")
	}
	return each(h.Floors, Floor)
}

// Counts checks the counts of one series.
func Counts(now time.Time, c ward.Counts) error {
	if c.Serves == "" || c.Entry == "" || !validNames(c.Serves, c.Version, c.Route, c.Move, c.Entry) || !validIncarnation(now, c.Incarnation) {
		return refuse("counts: a name is empty or too long")
	}
	// The sums of the counts of all entries must not overflow.
	const maxCount = math.MaxUint64 >> 24
	if c.Succeeded > maxCount || c.Failed > maxCount {
		return refuse("counts of %q: out of bounds", c.Entry)
	}
	for _, n := range c.Latency {
		if n > maxCount {
			return refuse("counts of %q: out of bounds", c.Entry)
		}
	}
	return nil
}

// Move checks the state of one move.
func Move(m ward.MoveState) error {
	if m.Move == "" || !validNames(m.Move, m.To, m.State, m.Holder) || len(m.Reason) > MaxReason {
		return refuse("move: a name is empty or too long")
	}
	if m.Share < 0 || m.Share > 1 || math.IsNaN(m.Share) || m.Step < 0 {
		return refuse("move %q: a value is out of bounds", m.Move)
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
		if !validAddress(u.Address) {
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

func validNames(list ...string) bool {
	for _, s := range list {
		if len(s) > MaxName {
			return false
		}
	}
	return true
}

func validDraining(list []string) bool { return len(list) <= MaxDraining && validNames(list...) }

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

// validIncarnation reports whether n is a start time that is not too far ahead:
// one in the future would shut out the entry's next runs.
func validIncarnation(now time.Time, n ward.Incarnation) bool {
	return n > 0 && uint64(n) <= uint64(now.Add(maxClockSkew).UnixNano())
}

func validTier(t ward.Tier) bool { return t <= ward.TierBottom }

func validWaiting(w [ward.TierCount]int) bool {
	for _, n := range w {
		if n < 0 {
			return false
		}
	}
	return true
}
