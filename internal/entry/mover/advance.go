package mover

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"agateward/internal/move/analysis"
	"agateward/internal/move/evidence"
	"agateward/internal/move/machine"
	"agateward/internal/move/order"
	"agateward/internal/move/plan"
	"agateward/internal/move/quarantine"
	"agateward/internal/move/split"
	"agateward/internal/ticket/acceptance"
	"agateward/ward"
)

// leaseState is what this entry knows about the lease on one move.
type leaseState struct {
	lease ward.Lease
	held  bool
	// retryAt is the time of the next attempt to acquire the lease.
	retryAt time.Time
	// stale is set when the record must be read before it is written. record is its
	// revision at the last read or write.
	stale  bool
	record uint64
	// counted is when counts were last written to the record, and written their sum.
	counted time.Time
	written uint64
	// suspicion is the result of the analysis from which the last state followed.
	suspicion float64
	// opposed reports whether the outcomes spoke against the version then.
	opposed bool
	// again is set when the store has returned from an older copy, until the record has
	// been written again.
	again bool
}

// Advance advances the moves whose leases this entry holds or can acquire.
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
			m.advanceMove(ctx, c, x)
		} else if l := m.leases[x.Name]; l != nil && l.held {
			m.releaseLease(x.Name, l)
		}
	}
}

// ended reports whether a move is in a final state that the store holds, and has no
// pending events.
func (m *Mover) ended(x ward.Move) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[x.Name]
	current := s.Ticket == x.Ticket || x.Cancelled && s.State != ""
	return current && m.machine.Final(s) && len(s.PendingEvents) == 0 && !machine.Lost(s, m.era())
}

func (m *Mover) advanceMove(ctx context.Context, c *ward.Config, x ward.Move) {
	l := m.leases[x.Name]
	if l == nil {
		l = &leaseState{}
		m.leases[x.Name] = l
	}
	held := m.holdLease(ctx, x.Name, l)
	m.noteHeld(x.Name, l)
	if !held {
		return
	}
	m.noteReturn(x, l)
	if l.stale && !m.read(ctx, x.Name, l) {
		return
	}
	if l.again {
		m.restore(x)
	}
	s, changed := m.nextState(c, x, l)
	if changed && !m.write(ctx, l, s) {
		return
	}
	if l.again && changed {
		l.again = false
		m.reportAgain(x, s)
	}
	if s.State == "loading" {
		m.sendOrders(ctx, c, x, l)
	}
}

// noteHeld keeps the lease on a move for NotifyOperators, while it is held.
func (m *Mover) noteHeld(move string, l *leaseState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.held {
		m.held[move] = l.lease
	} else {
		delete(m.held, move)
	}
}

// holdLease acquires or renews the lease on a move and reports whether it is held.
func (m *Mover) holdLease(ctx context.Context, move string, l *leaseState) bool {
	now := m.Clock.Now()
	if l.held && now.Before(l.lease.Expires.Add(-m.LeaseTTL/2)) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if l.held {
		return m.renew(ctx, l, now)
	}
	if now.Before(l.retryAt) || !m.candidate(move) {
		return false
	}
	lease, err := m.Store.Acquire(ctx, acceptance.LeaseMove(move), m.Self, m.LeaseTTL)
	if err != nil {
		l.retryAt = now.Add(m.LeaseTTL / 4)
		if errors.Is(err, ward.ErrConflict) && lease.Expires.After(l.retryAt) {
			l.retryAt = lease.Expires
		}
		return false
	}
	l.lease = lease
	l.lease.Expires = earlier(lease.Expires, now.Add(m.LeaseTTL))
	l.held = true
	l.stale = true
	m.Log.Info("move-lease-acquired", "move", move, "fence", lease.Fence)
	return true
}

func (m *Mover) renew(ctx context.Context, l *leaseState, now time.Time) bool {
	lease, err := m.Store.Renew(ctx, l.lease, m.LeaseTTL)
	switch {
	case err == nil:
		l.lease = lease
		l.lease.Expires = earlier(lease.Expires, now.Add(m.LeaseTTL))
	case errors.Is(err, ward.ErrLeaseLost) || !now.Before(l.lease.Expires):
		l.held = false
		l.retryAt = now
		m.Log.Info("move-lease-lost", "move", l.lease.Name, "fence", l.lease.Fence)
	}
	return l.held && m.Clock.Now().Before(l.lease.Expires)
}

// candidate reports whether this entry is one of the maxCandidates entries that try
// to acquire the lease on a move.
func (m *Mover) candidate(move string) bool {
	f := m.Fleet()
	if f.Entries <= maxCandidates {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(move))
	return (f.Index+int(h.Sum32()%uint32(f.Entries)))%f.Entries < maxCandidates
}

// read reads the record of a move from the store.
func (m *Mover) read(ctx context.Context, move string, l *leaseState) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, err := m.Store.Get(ctx, acceptance.KeyMove(move))
	if err != nil {
		return false
	}
	l.stale, l.record = false, rec.Revision
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
	if _, known := m.ticket(s); !known {
		l.stale = true // of an order that this entry has still to learn of
		return false
	}
	m.adopt(s)
	return true
}

// nextState returns the state that follows the known one, and whether it differs.
func (m *Mover) nextState(c *ward.Config, x ward.Move, l *leaseState) (ward.MoveState, bool) {
	entries := uint64(max(m.Fleet().Entries, 1))
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.recognize(x) {
		return ward.MoveState{}, false
	}
	s := m.states[x.Name]
	in := machine.Input{
		Now: m.Clock.Now(), Move: x, Holder: m.Self, Fence: l.lease.Fence,
		Replicas: m.replicas(x), Loaded: order.Loaded(x, s.Orders), Evidence: func() []ward.Counts { return m.evidenceOf(c, x) },
	}
	m.judge(c, x, s.Step, entries, &in)
	l.suspicion, l.opposed = in.Suspicion, in.Opposed
	in.Quarantined, in.QuarantineReason = m.quarantined(c, x)
	next, changed := m.machine.Next(s, in)
	if !changed && next.Fence != l.lease.Fence {
		// The first write under a new lease makes all later writes of the previous
		// holder fail.
		next.Fence = l.lease.Fence
		next.Holder = m.Self
		changed = true
	}
	kept := slices.DeleteFunc(slices.Clone(next.PendingEvents), func(e ward.Event) bool { return m.wasNotified(e) })
	if len(kept) < len(next.PendingEvents) {
		next.PendingEvents = kept
		changed = true
	}
	if running := !next.Begin.IsZero() && !m.machine.Final(next); running && (changed || m.countsDue(x, next, in.Now, l)) {
		next.Counts, next.Expected = m.recordCounts(x), m.recordExpected(c, x)
		changed = changed || sumOf(next.Counts) > l.written
	}
	return next, changed
}

// replicas returns the registered upstreams of a move's service, nil if they are not known.
func (m *Mover) replicas(x ward.Move) []ward.Replica {
	if m.Replicas == nil {
		return nil
	}
	return m.Replicas(x.Serves)
}

// judge sets what the last evaluation found, in a fleet of a number of entries.
func (m *Mover) judge(c *ward.Config, x ward.Move, step int, entries uint64, in *machine.Input) {
	name := evidence.RunName(x.Name, x.Ticket)
	r := m.runs[name]
	if r == nil || len(r.steps) == 0 {
		return
	}
	for _, route := range routesOf(c, x) {
		in.Suspicion = max(in.Suspicion, r.verdicts[route.Name].Suspicion)
		if samples, _ := m.samples(name, route, x, step); step > plan.UnprovenSteps {
			in.Worse = in.Worse || analysis.Assess(samples, plan.UnprovenSteps+1).Worse()
		}
	}
	for _, a := range r.approvals {
		in.Requests += a.Requests
		in.Opposed, in.Unclear = in.Opposed || a.Opposes(), in.Unclear || a.Unclear()
		in.Answered, in.Failed = in.Answered+a.Answered, in.Failed+a.Failed
	}
	worst := analysis.Worst(r.approvals)
	in.Failures, in.Slowness = worst.AnsweredFailures, worst.Slowness
	in.Approved = analysis.Approved(r.approvals, plan.Plan{Begin: r.begin, Deadline: x.Deadline}.Final(in.Now))
	// Peers may be silent, so that their requests are missing.
	in.Requests = max(in.Requests-min(r.before, in.Requests), m.ownRequests(name)*entries)
	// Those that no upstream took count too: a version does not pass for one without traffic.
	arrived := m.arrivals(x.Name)
	in.Requests = max(in.Requests, (arrived-min(arrived, r.arrivedBefore))*entries)
	in.Observed = in.Now.Sub(r.steps[0].at)
}

// quarantined reports whether a quarantine applies to a move, and its reason.
func (m *Mover) quarantined(c *ward.Config, x ward.Move) (bool, string) {
	for _, q := range m.quarantines.List() {
		for _, r := range routesOf(c, x) {
			if quarantine.InForce([]ward.Quarantine{q}, c, r, x.To) {
				return true, q.Reason
			}
		}
	}
	return false, ""
}

// write writes a state to the store and puts it in force when the write is confirmed.
// After an error the record is read again before the next write.
func (m *Mover) write(ctx context.Context, l *leaseState, s ward.MoveState) bool {
	b, err := json.Marshal(s)
	if err != nil {
		m.Log.Error(err, "move-record-unwritable", "move", s.Move)
		return false
	}
	if !m.Clock.Now().Before(l.lease.Expires) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, err := m.Store.CompareAndSwap(ctx, acceptance.KeyMove(s.Move), l.record, b)
	if err != nil {
		l.stale = true
		return false
	}
	s.Revision, l.record = rec.Revision, rec.Revision
	if s.Counts != nil {
		l.counted, l.written = m.Clock.Now(), sumOf(s.Counts)
	}
	m.mu.Lock()
	before := m.states[s.Move]
	m.adopt(s)
	m.mu.Unlock()
	if before.State != s.State || before.Step != s.Step {
		m.Log.Info("move-state", "move", s.Move, "ticket", s.Ticket, "state", s.State, "step", s.Step, "share", s.Share, "fence", s.Fence, "reason", s.Reason,
			"approved", s.Approved, "suspicion", l.suspicion, "opposed", l.opposed)
	}
	m.publish()
	return true
}

// releaseLease releases a lease. If this fails, the lease expires.
func (m *Mover) releaseLease(move string, l *leaseState) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	l.held = false
	m.noteHeld(move, l)
	if err := m.Store.Release(ctx, l.lease); err != nil {
		m.Log.V(1).Info("move-lease-kept", "move", move, "error", err.Error())
	}
}

// releaseAll releases all leases that are held.
func (m *Mover) releaseAll() {
	for name, l := range m.leases {
		if l.held {
			m.releaseLease(name, l)
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
