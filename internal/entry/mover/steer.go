package mover

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"agateward/internal/move/evidence"
	"agateward/internal/move/machine"
	"agateward/internal/move/order"
	"agateward/internal/move/quarantine"
	"agateward/internal/move/split"
	"agateward/internal/ticket/acceptance"
	"agateward/ward"
)

// duty is what this entry knows of steering one move.
type duty struct {
	lease ward.Lease
	held  bool
	// tryAt is when the lease is tried for again.
	tryAt time.Time
	// stale says that the record must be read before it is written.
	stale bool
}

// Advance makes the moves go on whose leases this entry holds or can get.
func (m *Mover) Advance(ctx context.Context) {
	c := m.Config()
	if c == nil {
		return
	}
	for _, x := range c.Moves {
		if ctx.Err() != nil {
			return
		}
		if !m.ended(x) {
			m.steer(ctx, c, x)
		} else if d := m.duties[x.Name]; d != nil && d.held {
			m.handBack(x.Name, d)
		}
	}
}

// ended tells whether nothing is left to do for a move.
func (m *Mover) ended(x ward.Move) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[x.Name]
	current := s.Ticket == x.Ticket || x.Cancelled && s.State != ""
	return current && m.machine.Final(s) && len(s.PendingEvents) == 0
}

func (m *Mover) steer(ctx context.Context, c *ward.Config, x ward.Move) {
	d := m.duties[x.Name]
	if d == nil {
		d = &duty{}
		m.duties[x.Name] = d
	}
	if !m.hold(ctx, x.Name, d) {
		return
	}
	if d.stale && !m.read(ctx, x.Name, d) {
		return
	}
	s, changed := m.next(c, x, d)
	if changed && !m.write(ctx, d, s) {
		return
	}
	if s.State == "loading" {
		m.load(ctx, c, x, d)
	}
}

// hold gets or keeps the lease of a move.
func (m *Mover) hold(ctx context.Context, move string, d *duty) bool {
	now := m.Clock.Now()
	if d.held && now.Before(d.lease.Expires.Add(-m.LeaseTTL/2)) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if d.held {
		return m.renew(ctx, d, now)
	}
	if now.Before(d.tryAt) || !m.candidate(move) {
		return false
	}
	lease, err := m.Store.Acquire(ctx, acceptance.LeaseMove(move), m.Self, m.LeaseTTL)
	if err != nil {
		d.tryAt = now.Add(m.LeaseTTL / 4)
		if errors.Is(err, ward.ErrConflict) && lease.Expires.After(d.tryAt) {
			d.tryAt = lease.Expires
		}
		return false
	}
	d.lease = lease
	d.lease.Expires = earlier(lease.Expires, now.Add(m.LeaseTTL))
	d.held = true
	d.stale = true
	m.Log.Info("move-lease-acquired", "move", move, "fence", lease.Fence)
	return true
}

func (m *Mover) renew(ctx context.Context, d *duty, now time.Time) bool {
	lease, err := m.Store.Renew(ctx, d.lease, m.LeaseTTL)
	switch {
	case err == nil:
		d.lease = lease
		d.lease.Expires = earlier(lease.Expires, now.Add(m.LeaseTTL))
	case errors.Is(err, ward.ErrLeaseLost) || !now.Before(d.lease.Expires):
		d.held = false
		d.tryAt = now
		m.Log.Info("move-lease-lost", "move", d.lease.Name, "fence", d.lease.Fence)
	}
	return d.held && m.Clock.Now().Before(d.lease.Expires)
}

// candidate tells whether this entry is one of the few that try for the lease.
func (m *Mover) candidate(move string) bool {
	f := m.Fleet()
	if f.Entries <= candidates {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(move))
	return (f.Index+int(h.Sum32()%uint32(f.Entries)))%f.Entries < candidates
}

// read brings the record of a move up to date from the store.
func (m *Mover) read(ctx context.Context, move string, d *duty) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, err := m.Store.Get(ctx, acceptance.KeyMove(move))
	if err != nil {
		return false
	}
	d.stale = false
	if rec.Revision == 0 || len(rec.Value) == 0 {
		return true
	}
	var s ward.MoveState
	if err := json.Unmarshal(rec.Value, &s); err != nil {
		m.Log.Error(err, "move-record-unreadable", "move", move)
		return false
	}
	s.Revision = rec.Revision
	m.mu.Lock()
	defer m.mu.Unlock()
	m.adopt(s)
	return true
}

// next computes the state that follows the known one.
func (m *Mover) next(c *ward.Config, x ward.Move, d *duty) (ward.MoveState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[x.Name]
	in := machine.Input{
		Now: m.Clock.Now(), Move: x, Holder: m.Self, Fence: d.lease.Fence,
		Loaded: order.Loaded(x, s.Orders), Evidence: func() []ward.Counts { return m.sum(c, x) },
	}
	in.Passed, in.Suspicion = m.opinion(c, x)
	in.Quarantined, in.QuarantineReason = m.brakeOn(c, x)
	next, changed := m.machine.Next(s, in)
	if !changed && next.Fence != d.lease.Fence {
		// The first write under a new lease makes every write of the holder
		// before it fail.
		next.Fence = d.lease.Fence
		next.Holder = m.Self
		changed = true
	}
	kept := slices.DeleteFunc(slices.Clone(next.PendingEvents), func(e ward.Event) bool { return m.told[e.ID] })
	if len(kept) < len(next.PendingEvents) {
		next.PendingEvents = kept
		changed = true
	}
	return next, changed
}

// opinion sums the verdicts of a move's routes up.
func (m *Mover) opinion(c *ward.Config, x ward.Move) (bool, float64) {
	r := m.runs[evidence.RunName(x.Name, x.Ticket)]
	if r == nil {
		return false, 0
	}
	passed, suspicion := true, 0.0
	for _, route := range routesOf(c, x) {
		v := r.verdicts[route.Name]
		passed = passed && v.Pass
		suspicion = max(suspicion, v.Suspicion)
	}
	return passed, suspicion
}

func (m *Mover) brakeOn(c *ward.Config, x ward.Move) (bool, string) {
	for _, b := range m.brakes.List() {
		for _, r := range routesOf(c, x) {
			if quarantine.InForce([]ward.Quarantine{b}, c, r, x.To) {
				return true, b.Reason
			}
		}
	}
	return false, ""
}

// write puts a state into the store and, when that was seen to succeed, into
// force. After any other answer the record is read again first.
func (m *Mover) write(ctx context.Context, d *duty, s ward.MoveState) bool {
	b, err := json.Marshal(s)
	if err != nil {
		m.Log.Error(err, "move-record-unwritable", "move", s.Move)
		return false
	}
	if !m.Clock.Now().Before(d.lease.Expires) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, err := m.Store.CompareAndSwap(ctx, acceptance.KeyMove(s.Move), s.Revision, b)
	if err != nil {
		d.stale = true
		return false
	}
	s.Revision = rec.Revision
	m.mu.Lock()
	before := m.states[s.Move]
	m.adopt(s)
	m.mu.Unlock()
	if before.State != s.State || before.Step != s.Step {
		m.Log.Info("move-state", "move", s.Move, "ticket", s.Ticket, "state", s.State, "step", s.Step, "share", s.Share, "fence", s.Fence, "reason", s.Reason)
	}
	m.publish()
	return true
}

// handBack releases a lease that is no longer needed.
func (m *Mover) handBack(move string, d *duty) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	d.held = false
	if err := m.Store.Release(ctx, d.lease); err != nil {
		m.Log.V(1).Info("move-lease-kept", "move", move, "error", err.Error())
	}
}

func (m *Mover) release() {
	for name, d := range m.duties {
		if d.held {
			m.handBack(name, d)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stateOf returns the known state of a move's record.
func (m *Mover) stateOf(x ward.Move) ward.MoveState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return split.StateOf(x, []ward.MoveState{m.states[x.Name]})
}
